#pragma once

#include <string_view>

namespace cowslip::link {

enum class LinkError {
  kOk,
  kSocket,
  kBind,
  kKey,
  kTruncated,
  kForeign,
  kMalformed,
  kForged,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(LinkError error);

}  // namespace cowslip::link
