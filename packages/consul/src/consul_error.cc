#include "cowslip/consul/consul_error.h"

namespace cowslip::consul {

std::string_view ErrorMessage(ConsulError error) {
  switch (error) {
    case ConsulError::kOk:
      return "ok";
    case ConsulError::kBadOptions:
      return "unusable options";
    case ConsulError::kUnavailable:
      return "store unavailable, request not sent";
    case ConsulError::kTimeout:
      return "no answer in time, outcome unknown";
    case ConsulError::kAnswerLost:
      return "answer lost, outcome unknown";
    case ConsulError::kBadAnswer:
      return "malformed answer";
    case ConsulError::kRefused:
      return "refused by the store";
    case ConsulError::kServerError:
      return "error in the store";
    case ConsulError::kCancelled:
      return "cancelled";
  }
  return "unknown error";
}

bool MayHaveTakenEffect(ConsulError error) {
  switch (error) {
    case ConsulError::kTimeout:
    case ConsulError::kAnswerLost:
    case ConsulError::kBadAnswer:
    case ConsulError::kServerError:
    case ConsulError::kCancelled:
      return true;
    default:
      return false;
  }
}

}  // namespace cowslip::consul
