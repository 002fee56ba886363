#pragma once

#include <string_view>

namespace cowslip::engine {

enum class EngineError {
  kOk,
  kBadOptions,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(EngineError error);

}  // namespace cowslip::engine
