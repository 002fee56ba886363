#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// A SYN that was sent to the upstream and not answered yet.
struct PendingSyn {
  /// SYNs carry no data, so their packets are short. Longer ones are not
  /// tracked.
  static constexpr std::size_t kMaxPacket = 64;

  FlowKey flow;
  SegmentFrame frame;
  std::array<std::uint8_t, kMaxPacket> packet{};
  std::uint8_t packet_size = 0;
  TimePoint due{};  ///< When to forward it to the next sidecar.

  ByteView bytes() const { return ByteView(packet).first(packet_size); }
};

/// Unanswered SYNs, the oldest first.
using PendingSynQueue = std::deque<PendingSyn>;

}  // namespace cowslip::segment
