#include "cowslip/engine/member_role.h"

namespace cowslip::engine {

using link::FrameHeader;
using link::FrameKind;
using membership::ConfirmationId;

namespace {

/// @return a copy of the header with another kind.
FrameHeader WithKind(FrameHeader header, FrameKind kind) {
  header.kind = kind;
  return header;
}

/// Encodes the id of a failure confirmation. Its frames have no queue and no
/// sequence, so that the header fields of these can hold the subject, the round
/// and the incarnation.
void SetConfirmationId(FrameHeader& header,
                       const ConfirmationId& confirmation) {
  header.least_loaded = {confirmation.subject, confirmation.round};
  header.sequence = Raw(confirmation.incarnation);
}

ConfirmationId GetConfirmationId(const FrameHeader& header) {
  return {header.least_loaded.upstream, Incarnation(header.sequence),
          header.least_loaded.expected_wait_us};
}

}  // namespace

MembershipAgent::MembershipAgent(
    const membership::LeaseGate& gate,
    std::optional<membership::LivenessMonitor> monitor)
    : gate_(gate), upstream_watch_({}), monitor_(std::move(monitor)) {}

void MembershipAgent::OnView(const membership::ViewPtr& view, UpstreamId own_id,
                             ServiceId service, TimePoint now) {
  const auto* members = view->Find(service);
  if (members != nullptr) gate_.OnOwnViewEntry(members->Find(own_id));
  if (view->IsRecordedDead(own_id, gate_.incarnation())) gate_.OnRecordedDead();
  if (monitor_) monitor_->OnView(view, now);
}

void MembershipAgent::OnFrame(const FrameHeader& header, const Endpoint& from,
                              const FrameHeader& header_template, bool leaving,
                              TimePoint now, SidecarEffects& effects) {
  if (header.kind == FrameKind::kProbe) {
    auto ack = WithKind(header_template, FrameKind::kProbeAck);
    ack.sequence = header.sequence;
    if (leaving) ack.flags |= link::kFlagLeaving;
    effects.frames.push_back({from, ack, {}});
  }
  // Frames without an incarnation come from balancers, which are no members.
  if (!monitor_ || header.incarnation == Incarnation{}) return;
  const auto sender = UpstreamId(header.sender);
  switch (header.kind) {
    case FrameKind::kProbe:
    case FrameKind::kProbeAck:
      monitor_->OnFrameReceived(sender, header.incarnation,
                                header.Has(link::kFlagLeaving), now,
                                liveness_effects_);
      break;
    case FrameKind::kIndirectProbe:
      monitor_->OnProbeRequest({from, GetConfirmationId(header)}, now,
                               liveness_effects_);
      break;
    case FrameKind::kIndirectProbeReply:
      monitor_->OnProbeReply(sender, GetConfirmationId(header),
                             header.Has(link::kFlagReachable), now,
                             liveness_effects_);
      break;
    default:
      return;
  }
  ConvertEffects(header_template, effects);
}

void MembershipAgent::OnTick(const FrameHeader& header_template,
                             ticket::Protocol protocol, TimePoint now,
                             SidecarEffects& effects) {
  upstream_watch_.OnTick(now);
  if (upstream_watch_.TakeProbe(now)) ProbeUpstream(protocol, effects);
  effects.announcement = upstream_watch_.TakeAnnouncement(now);
  effects.lease_check = gate_.TakeCheck();
  if (!monitor_) return;
  monitor_->OnTick(now, liveness_effects_);
  ConvertEffects(header_template, effects);
}

/// Probes the upstream. A CoAP server answers a ping (RFC 7252 section 4.3)
/// with a reset. A datagram service is sent an empty datagram, which its
/// machine refuses if no process listens on the port.
void MembershipAgent::ProbeUpstream(ticket::Protocol protocol,
                                    SidecarEffects& effects) {
  constexpr std::uint8_t kEmptyConfirmable = 0x40;
  constexpr unsigned kByteBits = 8;
  Bytes ping;
  if (protocol == ticket::Protocol::kCoap) {
    ++ping_message_id_;
    ping = {kEmptyConfirmable, 0,
            static_cast<std::uint8_t>(ping_message_id_ >> kByteBits),
            static_cast<std::uint8_t>(ping_message_id_)};
  }
  effects.upstream_probe = effects.scratch.Store(std::move(ping));
}

void MembershipAgent::AnnounceLeaving(const FrameHeader& header_template,
                                      SidecarEffects& effects) const {
  if (!monitor_) return;
  auto notice = WithKind(header_template, FrameKind::kProbeAck);
  notice.flags |= link::kFlagLeaving;
  for (const auto& neighbour : monitor_->Neighbours()) {
    effects.frames.push_back({neighbour, notice, {}});
  }
}

void MembershipAgent::OnDeathRecorded(const membership::RecordDeath& record,
                                      membership::RecordOutcome outcome,
                                      TimePoint now) {
  if (monitor_) monitor_->OnRecorded(record, outcome, now);
}

void MembershipAgent::ConvertEffects(const FrameHeader& header_template,
                                     SidecarEffects& effects) {
  for (const auto& probe : liveness_effects_.probes) {
    effects.frames.push_back(
        {probe.to, WithKind(header_template, FrameKind::kProbe), {}});
  }
  for (const auto& query : liveness_effects_.probe_requests) {
    auto header = WithKind(header_template, FrameKind::kIndirectProbe);
    SetConfirmationId(header, query.inquiry);
    effects.frames.push_back({query.to, header, {}});
  }
  for (const auto& reply : liveness_effects_.probe_replies) {
    auto header = WithKind(header_template, FrameKind::kIndirectProbeReply);
    SetConfirmationId(header, reply.inquiry);
    if (reply.reachable) header.flags |= link::kFlagReachable;
    effects.frames.push_back({reply.to, header, {}});
  }
  // While its own lease is in doubt, a process must not record the death of
  // other members.
  if (gate_.admits_work()) {
    effects.deaths.insert(effects.deaths.end(),
                          liveness_effects_.death_records.begin(),
                          liveness_effects_.death_records.end());
  }
  liveness_effects_.Clear();
}

}  // namespace cowslip::engine
