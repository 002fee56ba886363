#include "cowslip/daemon/daemon_error.h"

namespace cowslip::daemon {

std::string_view ErrorMessage(DaemonError error) {
  switch (error) {
    case DaemonError::kOk:
      return "ok";
    case DaemonError::kSocket:
      return "a socket can't be opened";
    case DaemonError::kStore:
      return "the store client can't be made";
    case DaemonError::kHttp:
      return "the HTTP face can't be started";
    case DaemonError::kEngine:
      return "the engine refuses its options";
    case DaemonError::kSuperseded:
      return "another process has taken the upstream id";
  }
  return "unknown error";
}

}  // namespace cowslip::daemon
