#pragma once

#include <cstdint>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// A caller's packet until a sidecar has taken it: one that opens a connection,
/// or one of a flow whose sidecar is not known here.
struct PendingPacket {
  Segment segment;
  SegmentFrame frame;
  Bytes packet;
  std::uint8_t next_hop = 0;  ///< Where the next repetition starts.
  /// The sidecar that has not said yet that it has got the packet.
  InstanceAddress waiting_for = 0;
  /// Members ahead of the list that were asked for the flow.
  std::size_t searched = 0;
  /// Members that the list covers, the silent ones that were left out included.
  std::size_t covered = 0;
  /// Some member may hold the flow without having said so.
  bool uncertain = false;
  /// All members have said once that they don't hold its flow.
  bool unheld_once = false;
  /// Nobody holds the flow; it is reset when its caller's next try has room.
  bool lost = false;
  bool repeated = false;  ///< Told once; a repetition follows each 40 ms.
  TimePoint due{};        ///< When to repeat it.
  TimePoint since{};      ///< Arrival.
};

using PendingPackets = std::unordered_map<FlowKey, PendingPacket, FlowKeyHash>;

}  // namespace cowslip::segment
