#include "cowslip/coap/coap_error.h"

namespace cowslip::coap {

std::string_view ErrorMessage(CoapError error) {
  switch (error) {
    case CoapError::kOk:
      return "ok";
    case CoapError::kMalformed:
      return "the datagram is not a CoAP message";
    case CoapError::kTooLarge:
      return "the message exceeds the datagram size";
  }
  return "unknown error";
}

}  // namespace cowslip::coap
