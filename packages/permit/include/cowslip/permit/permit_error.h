#pragma once

#include <string_view>

namespace cowslip::permit {

enum class PermitError {
  kOk,
  kMalformed,
  kForged,
  kBadCapacity,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(PermitError error);

}  // namespace cowslip::permit
