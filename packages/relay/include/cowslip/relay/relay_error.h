#pragma once

#include <string_view>

namespace cowslip::relay {

/// Reasons for which a text is rejected.
enum class RelayError {
  kOk,
  kBadMessage,
  kBadPeer,
};

/// @return one sentence that explains the error to an operator.
std::string_view ErrorMessage(RelayError error);

}  // namespace cowslip::relay
