#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cowslip/base.h"

namespace review {

using cowslip::Bytes;
using cowslip::ByteView;
using cowslip::Endpoint;

inline constexpr std::uint8_t kRst = 2;
inline constexpr std::uint8_t kBounced = 8;
inline constexpr std::uint8_t kSyn = 16;
inline constexpr std::uint8_t kFin = 32;
inline constexpr std::uint8_t kAck = 64;

/// One packet of a flow, with the fields of the users' page "Packets".
struct Packet {
  std::uint32_t echo = 0;
  Endpoint source;
  Endpoint target;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t sum = 0;  ///< Set by Decode() only.
  std::uint8_t flags = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
  bool is_syn() const { return has(kSyn) && !has(kAck); }
};

/// Writes a packet with the keyed sum of its sender.
Bytes Encode(const Packet& packet);
std::optional<Packet> Decode(ByteView datagram);
/// @return whether the packet is as an end of a flow wrote it.
bool HasValidSum(const Packet& packet);
/// @return the datagram of a packet with BOUNCED set, as a server returns it.
Bytes MarkReturned(ByteView datagram);

}  // namespace review
