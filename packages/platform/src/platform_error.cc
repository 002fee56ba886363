#include "cowslip/platform/platform_error.h"

namespace cowslip::platform {

std::string_view ErrorMessage(PlatformError error) {
  switch (error) {
    case PlatformError::kOk:
      return "ok";
    case PlatformError::kBadOptions:
      return "unusable options";
    case PlatformError::kUnavailable:
      return "store unavailable, request not sent";
    case PlatformError::kTimeout:
      return "no answer in time, outcome unknown";
    case PlatformError::kAnswerLost:
      return "answer lost, outcome unknown";
    case PlatformError::kBadAnswer:
      return "malformed answer";
    case PlatformError::kRefused:
      return "refused by the store";
    case PlatformError::kServerError:
      return "error in the store";
    case PlatformError::kCancelled:
      return "cancelled";
  }
  return "unknown error";
}

bool MayHaveTakenEffect(PlatformError error) {
  switch (error) {
    case PlatformError::kTimeout:
    case PlatformError::kAnswerLost:
    case PlatformError::kBadAnswer:
    case PlatformError::kServerError:
    case PlatformError::kCancelled:
      return true;
    default:
      return false;
  }
}

}  // namespace cowslip::platform
