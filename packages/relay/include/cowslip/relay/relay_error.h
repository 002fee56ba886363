#pragma once

#include <string_view>

namespace cowslip::relay {

enum class RelayError {
  kOk,
  kBadMessage,
  kBadPeer,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(RelayError error);

}  // namespace cowslip::relay
