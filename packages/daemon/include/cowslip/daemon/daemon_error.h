#pragma once

#include <string_view>

namespace cowslip::daemon {

enum class DaemonError {
  kOk,
  kSocket,
  kStore,
  kHttp,
  kEngine,
  kSuperseded,
};

/// @return one sentence for operators.
std::string_view ErrorMessage(DaemonError error);

}  // namespace cowslip::daemon
