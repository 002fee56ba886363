#pragma once

#include <string_view>

namespace cowslip::permit {

/// Errors of decoding and verifying permits.
enum class PermitError {
  kOk,
  kMalformed,
  kForged,
  kBadCapacity,
};

/// @return a description for log messages.
std::string_view ErrorMessage(PermitError error);

}  // namespace cowslip::permit
