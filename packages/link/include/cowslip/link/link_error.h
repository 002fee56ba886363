#pragma once

#include <string_view>

namespace cowslip::link {

enum class LinkError {
  kOk,
  kSocketFailed,
  kBindFailed,
  kBadKey,
  kTruncated,
  kBadMagic,
  kFieldOutOfRange,
  kBadMac,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(LinkError error);

}  // namespace cowslip::link
