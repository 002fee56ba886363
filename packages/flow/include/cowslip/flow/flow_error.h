#pragma once

#include <string_view>

namespace cowslip::flow {

enum class FlowError {
  kOk,
  kBadCapacity,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(FlowError error);

}  // namespace cowslip::flow
