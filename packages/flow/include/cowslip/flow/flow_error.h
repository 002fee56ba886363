#pragma once

#include <string_view>

namespace cowslip::flow {

/// Errors of FlowTable::Create() and HintCache::Create().
enum class FlowError {
  kOk,
  kBadCapacity,
};

/// @return a description for log messages.
std::string_view ErrorMessage(FlowError error);

}  // namespace cowslip::flow
