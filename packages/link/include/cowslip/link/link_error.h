#pragma once

#include <string_view>

namespace cowslip::link {

/// Reasons for which a socket, key or frame is unusable.
enum class LinkError {
  kOk,
  kSocket,
  kBind,
  kKey,
  kTruncated,  ///< Size and header don't match.
  kForeign,    ///< Wrong magic number.
  kMalformed,  ///< A header field is out of range.
  kForged,     ///< Wrong authentication code.
};

/// @return one sentence that explains the error to an operator.
std::string_view ErrorMessage(LinkError error);

}  // namespace cowslip::link
