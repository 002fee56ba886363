#include "cowslip/link/link_error.h"

namespace cowslip::link {

std::string_view ErrorMessage(LinkError error) {
  switch (error) {
    case LinkError::kOk:
      return "ok";
    case LinkError::kSocketFailed:
      return "the socket can't be created or connected";
    case LinkError::kBindFailed:
      return "the socket can't be bound to its address";
    case LinkError::kBadKey:
      return "the frame key must be 32 hexadecimal digits";
    case LinkError::kTruncated:
      return "the size of the datagram doesn't match its frame header";
    case LinkError::kBadMagic:
      return "the datagram is not a frame: wrong magic number";
    case LinkError::kFieldOutOfRange:
      return "a field of the frame header is out of range";
    case LinkError::kBadMac:
      return "the frame's authentication code is wrong";
  }
  return "unknown error";
}

}  // namespace cowslip::link
