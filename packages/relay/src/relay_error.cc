#include "cowslip/relay/relay_error.h"

namespace cowslip::relay {

std::string_view ErrorMessage(RelayError error) {
  switch (error) {
    case RelayError::kOk:
      return "ok";
    case RelayError::kBadMessage:
      return "the relay message is malformed";
    case RelayError::kBadPeer:
      return "the instance record in the store is malformed";
  }
  return "unknown error";
}

}  // namespace cowslip::relay
