#include "cowslip/segment/sidecar.h"

namespace cowslip::segment {

void Sidecar::OnControlDatagram(InstanceAddress balancer, ByteView datagram,
                                bool backlog, TimePoint now, Outbox& out) {
  const auto kind = KindOf(datagram);
  if (kind == FrameKind::kProbe) {
    OnProbe(balancer, now, out);
  } else if (kind == FrameKind::kOwnerQuery) {
    if (backlog) {
      ++stats_.outdated;
    } else if (const auto query = DecodeOwnerQuery(datagram)) {
      OnOwnerQuery(balancer, *query, now, out);
    }
  }
}

/// Answers from what this process knows; no upstream is queried. A balancer
/// sends the packets of unknown flows in frames, which are given to the
/// upstream.
void Sidecar::OnOwnerQuery(InstanceAddress balancer, const OwnerQuery& query,
                           TimePoint now, Outbox& out) {
  ++stats_.owner_queries;
  stats_.owner_query_flows += query.flow_count;
  UpdateConfigVersion(query.config, now);
  OwnerReply reply;
  reply.number = query.number;
  reply.flow_count = query.flow_count;
  FillState(reply.state, now);
  std::uint64_t bit = 1;
  for (const auto& queried : query.queried()) {
    Segment segment;
    segment.flow = queried.flow;
    segment.ack = queried.caller_ack;
    const auto ownership = OwnershipOf(flows_.Find(queried.flow), segment, now);
    if (ownership == Ownership::kOwned) reply.owned |= bit;
    if (ownership == Ownership::kNotOwned) reply.not_owned |= bit;
    bit <<= 1;
  }
  out.SendOwnerReply(balancer, reply);
}

}  // namespace cowslip::segment
