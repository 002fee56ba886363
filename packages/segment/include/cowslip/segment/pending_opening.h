#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// A packet that opens a connection, until a sidecar has taken it.
struct PendingOpening {
  /// Openings carry no data, so their packets are short; longer ones are sent
  /// once and not repeated.
  static constexpr std::size_t kMaxPacket = 64;

  FlowKey flow;
  SegmentFrame frame;
  std::array<std::uint8_t, kMaxPacket> packet{};
  std::uint8_t packet_size = 0;
  std::uint8_t next_hop = 0;  ///< Where the next repetition starts.
  int attempts = 0;
  /// The sidecar that has not said yet that it has got the packet.
  InstanceAddress waiting_for = 0;
  TimePoint due{};    ///< When to repeat it.
  TimePoint since{};  ///< Arrival.

  ByteView bytes() const { return ByteView(packet).first(packet_size); }
};

using PendingOpenings =
    std::unordered_map<FlowKey, PendingOpening, FlowKeyHash>;

}  // namespace cowslip::segment
