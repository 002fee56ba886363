#pragma once

#include "cowslip/base.h"
#include "cowslip/coap.h"

namespace cowslip::engine {

/// Size of a CoAP message without token, options and payload, in bytes.
inline constexpr std::size_t kCoapHeaderBytes = 4;

/// @return the type of a CoAP message without parsing it; datagram.size() must
///     be at least kCoapHeaderBytes.
inline coap::Type PeekType(ByteView datagram) {
  constexpr int kTypeShift = 4;
  constexpr int kTypeMask = 3;
  return coap::Type(datagram[0] >> kTypeShift & kTypeMask);
}

/// @return whether the message is confirmable.
inline bool IsConfirmable(ByteView datagram) {
  return datagram.size() >= kCoapHeaderBytes &&
         PeekType(datagram) == coap::Type::kCon;
}

/// @return whether the message is an acknowledgement or a reset, which a caller
///     only sends in answer to a message of an upstream.
inline bool IsAnswer(ByteView datagram) {
  if (datagram.size() < kCoapHeaderBytes) return false;
  const auto type = PeekType(datagram);
  return type == coap::Type::kAck || type == coap::Type::kRst;
}

}  // namespace cowslip::engine
