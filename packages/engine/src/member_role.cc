#include "cowslip/engine/member_role.h"

namespace cowslip::engine {

using link::FrameHeader;
using link::FrameKind;
using membership::ConfirmationId;

namespace {

FrameHeader WithKind(FrameHeader header, FrameKind kind) {
  header.kind = kind;
  return header;
}

void SetInquiry(FrameHeader& header, const ConfirmationId& inquiry) {
  header.least_loaded = {inquiry.subject, inquiry.round};
  header.sequence = Raw(inquiry.incarnation);
}

ConfirmationId GetInquiry(const FrameHeader& header) {
  return {header.least_loaded.upstream, Incarnation(header.sequence),
          header.least_loaded.expected_wait_us};
}

}  // namespace

MemberRole::MemberRole(const membership::LeaseGate& gate,
                       std::optional<membership::LivenessMonitor> monitor)
    : gate_(gate), upstream_({}), monitor_(std::move(monitor)) {}

void MemberRole::OnView(const membership::ViewPtr& view, UpstreamId own,
                        ServiceId service, TimePoint now) {
  const auto* members = view->Find(service);
  if (members != nullptr) gate_.OnOwnViewEntry(members->Find(own));
  if (view->IsRecordedDead(own, gate_.incarnation())) gate_.OnRecordedDead();
  if (monitor_) monitor_->OnView(view, now);
}

void MemberRole::OnFrame(const FrameHeader& header, const Endpoint& from,
                         const FrameHeader& answer, bool leaving, TimePoint now,
                         SidecarEffects& effects) {
  if (header.kind == FrameKind::kProbe) {
    auto ack = WithKind(answer, FrameKind::kProbeAck);
    ack.sequence = header.sequence;
    if (leaving) ack.flags |= link::kFlagLeaving;
    effects.frames.push_back({from, ack, {}});
  }
  // Only sidecars have an incarnation.
  if (!monitor_ || header.incarnation == Incarnation{}) return;
  const auto sender = UpstreamId(header.sender);
  switch (header.kind) {
    case FrameKind::kProbe:
    case FrameKind::kProbeAck:
      monitor_->OnFrameReceived(sender, header.incarnation,
                                header.Has(link::kFlagLeaving), now, wanted_);
      break;
    case FrameKind::kIndirectProbe:
      monitor_->OnProbeRequest({from, GetInquiry(header)}, now, wanted_);
      break;
    case FrameKind::kIndirectProbeReply:
      monitor_->OnProbeReply(sender, GetInquiry(header),
                             header.Has(link::kFlagReachable), now, wanted_);
      break;
    default:
      return;
  }
  CarryOut(answer, effects);
}

void MemberRole::OnTick(const FrameHeader& answer, ticket::Protocol protocol,
                        TimePoint now, SidecarEffects& effects) {
  upstream_.OnTick(now);
  if (upstream_.TakeProbe(now)) ProbeUpstream(protocol, effects);
  effects.announcement = upstream_.TakeAnnouncement(now);
  effects.lease_check = gate_.TakeCheck();
  if (!monitor_) return;
  monitor_->OnTick(now, wanted_);
  CarryOut(answer, effects);
}

/// A CoAP ping (RFC 7252 section 4.3) gets a reset; an opaque service gets an
/// empty datagram, which shows at least whether a process listens.
void MemberRole::ProbeUpstream(ticket::Protocol protocol,
                               SidecarEffects& effects) {
  constexpr std::uint8_t kEmptyConfirmable = 0x40;
  constexpr unsigned kByteBits = 8;
  Bytes ping;
  if (protocol == ticket::Protocol::kCoap) {
    ++pings_;
    ping = {kEmptyConfirmable, 0,
            static_cast<std::uint8_t>(pings_ >> kByteBits),
            static_cast<std::uint8_t>(pings_)};
  }
  effects.upstream_probe = effects.scratch.Keep(std::move(ping));
}

void MemberRole::AnnounceLeaving(const FrameHeader& answer,
                                 SidecarEffects& effects) const {
  if (!monitor_) return;
  auto notice = WithKind(answer, FrameKind::kProbeAck);
  notice.flags |= link::kFlagLeaving;
  for (const auto& neighbour : monitor_->Neighbours()) {
    effects.frames.push_back({neighbour, notice, {}});
  }
}

void MemberRole::OnDeathRecorded(const membership::RecordDeath& record,
                                 membership::RecordOutcome outcome,
                                 TimePoint now) {
  if (monitor_) monitor_->OnRecorded(record, outcome, now);
}

void MemberRole::CarryOut(const FrameHeader& answer, SidecarEffects& effects) {
  for (const auto& probe : wanted_.probes) {
    effects.frames.push_back(
        {probe.to, WithKind(answer, FrameKind::kProbe), {}});
  }
  for (const auto& question : wanted_.probe_requests) {
    auto header = WithKind(answer, FrameKind::kIndirectProbe);
    SetInquiry(header, question.inquiry);
    effects.frames.push_back({question.to, header, {}});
  }
  for (const auto& opinion : wanted_.probe_replies) {
    auto header = WithKind(answer, FrameKind::kIndirectProbeReply);
    SetInquiry(header, opinion.inquiry);
    if (opinion.reachable) header.flags |= link::kFlagReachable;
    effects.frames.push_back({opinion.to, header, {}});
  }
  // A process in doubt about its own lease judges nobody.
  if (gate_.admits_work()) {
    effects.deaths.insert(effects.deaths.end(), wanted_.death_records.begin(),
                          wanted_.death_records.end());
  }
  wanted_.Clear();
}

}  // namespace cowslip::engine
