#include "cowslip/consul/consul_error.h"

namespace cowslip::consul {

std::string_view ErrorMessage(ConsulError error) {
  switch (error) {
    case ConsulError::kOk:
      return "ok";
    case ConsulError::kBadOptions:
      return "invalid options";
    case ConsulError::kUnavailable:
      return "store unavailable, request not sent";
    case ConsulError::kTimeout:
      return "no response in time, outcome unknown";
    case ConsulError::kConnectionLost:
      return "connection lost before a complete response, outcome unknown";
    case ConsulError::kInvalidResponse:
      return "invalid response";
    case ConsulError::kRefused:
      return "store refused the request";
    case ConsulError::kServerError:
      return "store reported a server error";
    case ConsulError::kCancelled:
      return "cancelled";
  }
  return "unknown error";
}

bool MayHaveTakenEffect(ConsulError error) {
  switch (error) {
    case ConsulError::kTimeout:
    case ConsulError::kConnectionLost:
    case ConsulError::kInvalidResponse:
    case ConsulError::kServerError:
    case ConsulError::kCancelled:
      return true;
    default:
      return false;
  }
}

}  // namespace cowslip::consul
