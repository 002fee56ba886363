#include "cowslip/link/link_error.h"

namespace cowslip::link {

std::string_view ErrorMessage(LinkError error) {
  switch (error) {
    case LinkError::kOk:
      return "ok";
    case LinkError::kSocketFailed:
      return "the socket can't be made";
    case LinkError::kBindFailed:
      return "the address can't be bound";
    case LinkError::kBadKey:
      return "the frame key must be 32 hexadecimal digits";
    case LinkError::kTruncated:
      return "the frame is shorter than it states";
    case LinkError::kBadMagic:
      return "the datagram is not a frame";
    case LinkError::kFieldOutOfRange:
      return "a field of the frame is out of range";
    case LinkError::kBadMac:
      return "the frame's authentication code is wrong";
  }
  return "unknown error";
}

}  // namespace cowslip::link
