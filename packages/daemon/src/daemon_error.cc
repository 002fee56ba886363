#include "cowslip/daemon/daemon_error.h"

namespace cowslip::daemon {

std::string_view ErrorMessage(DaemonError error) {
  switch (error) {
    case DaemonError::kOk:
      return "ok";
    case DaemonError::kSocket:
      return "a socket can't be opened";
    case DaemonError::kStore:
      return "the store request failed";
    case DaemonError::kHttp:
      return "the HTTP server can't be started";
    case DaemonError::kEngine:
      return "the engine options are not valid";
    case DaemonError::kSuperseded:
      return "another process has claimed the upstream id";
  }
  return "unknown error";
}

}  // namespace cowslip::daemon
