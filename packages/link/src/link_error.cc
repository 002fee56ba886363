#include "cowslip/link/link_error.h"

namespace cowslip::link {

std::string_view ErrorMessage(LinkError error) {
  switch (error) {
    case LinkError::kOk:
      return "ok";
    case LinkError::kSocket:
      return "the socket can't be made";
    case LinkError::kBind:
      return "the address can't be bound";
    case LinkError::kKey:
      return "the frame key must be 32 hexadecimal digits";
    case LinkError::kTruncated:
      return "the frame is shorter than it states";
    case LinkError::kForeign:
      return "the datagram is not a frame";
    case LinkError::kMalformed:
      return "a field of the frame is out of range";
    case LinkError::kForged:
      return "the frame's authentication code is wrong";
  }
  return "unknown error";
}

}  // namespace cowslip::link
