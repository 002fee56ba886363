#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// An opening that the upstream has got and not yet answered.
struct UnansweredOpening {
  /// Openings carry no data, so their packets are short; longer ones are not
  /// watched.
  static constexpr std::size_t kMaxPacket = 64;

  FlowKey flow;
  SegmentFrame frame;
  std::array<std::uint8_t, kMaxPacket> packet{};
  std::uint8_t packet_size = 0;
  TimePoint due{};  ///< When to pass it on.

  ByteView bytes() const { return ByteView(packet).first(packet_size); }
};

/// Oldest first.
using OpeningWatch = std::deque<UnansweredOpening>;

}  // namespace cowslip::segment
