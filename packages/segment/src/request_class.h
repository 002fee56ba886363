#pragma once

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/pending_packet.h"
#include "cowslip/segment/route_table.h"

namespace cowslip::segment {

/// Sets the times left for the answer of the request that a packet belongs to,
/// and its class. Only a SYN tells when the request began.
/// @param with_class whether all hops understand frames with a class.
void ClassifyRequest(const Route& route, const PendingPacket& pending,
                     bool with_class, TimePoint now, SegmentFrame& frame);

}  // namespace cowslip::segment
