#pragma once

#include <string_view>

namespace cowslip::engine {

/// Errors of Balancer::Create() and Sidecar::Create().
enum class EngineError {
  kOk,
  kBadOptions,
};

/// @return a description for log messages.
std::string_view ErrorMessage(EngineError error);

}  // namespace cowslip::engine
