#pragma once

#include <deque>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// A caller's packet that was sent to the upstream although the sidecar doesn't
/// know whether the upstream owns its flow.
struct PendingQuery {
  Segment segment;
  SegmentFrame frame;
  Bytes packet;
  TimePoint due{};  ///< When the upstream would have returned the packet.
};

/// Queries that the upstream may still answer, the oldest first.
using PendingQueryQueue = std::deque<PendingQuery>;

}  // namespace cowslip::segment
