#pragma once

#include <string_view>

namespace cowslip::link {

/// Reasons for which a socket, key or frame is unusable.
enum class LinkError {
  kOk,
  kSocketFailed,
  kBindFailed,
  kBadKey,
  kTruncated,        ///< Size and header don't match.
  kBadMagic,         ///< Wrong magic number.
  kFieldOutOfRange,  ///< A header field is out of range.
  kBadMac,           ///< Wrong authentication code.
};

/// @return one sentence that explains the error to an operator.
std::string_view ErrorMessage(LinkError error);

}  // namespace cowslip::link
