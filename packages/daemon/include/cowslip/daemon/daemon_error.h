#pragma once

#include <string_view>

namespace cowslip::daemon {

/// Reasons why a cowslipd process fails to start or ends early.
enum class DaemonError {
  kOk,
  kSocket,
  kStore,
  kHttp,
  kEngine,
  kSuperseded,
};

/// @return a one-line message for operators.
std::string_view ErrorMessage(DaemonError error);

}  // namespace cowslip::daemon
