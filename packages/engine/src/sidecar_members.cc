#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

std::optional<membership::LivenessMonitor> MakeMonitor(
    const SidecarOptions& options) {
  if (!options.monitor_neighbours) return std::nullopt;
  membership::LivenessOptions monitor_options;
  monitor_options.id = options.id;
  monitor_options.service = options.service;
  monitor_options.seed = options.seed + Raw(options.id);
  LastReason<membership::MembershipError> reason;
  return membership::LivenessMonitor::Create(monitor_options, reason);
}

}  // namespace

using link::FrameKind;

MembershipAgent Sidecar::MakeMembershipAgent(const SidecarOptions& options) {
  const membership::LeaseGate gate(options.lease, options.incarnation,
                                   options.claim_started);
  return {gate, MakeMonitor(options)};
}

bool Sidecar::AcceptsNewWork() const {
  return !draining_ && now_ >= no_work_until_ && membership_.CanAcceptWork();
}

void Sidecar::OnMembershipFrame(const link::FrameHeader& header,
                                const Endpoint& from, TimePoint now,
                                SidecarEffects& effects) {
  membership_.OnFrame(header, from, MakeHeader(FrameKind::kProbeAck), draining_,
                      now, effects);
}

void Sidecar::StartDrain(SidecarEffects& effects) {
  draining_ = true;
  membership_.AnnounceLeaving(MakeHeader(FrameKind::kProbeAck), effects);
}

void Sidecar::OnLeaseConfirmed(membership::LeaseCheckId check_id,
                               TimePoint now) {
  membership_.OnEvent(now);
  membership_.gate().OnVerified(check_id);
}

void Sidecar::OnSuperseded() { membership_.gate().OnSuperseded(); }

void Sidecar::BeginIncarnation(Incarnation incarnation,
                               const permit::PermitKey& key, TimePoint now,
                               SidecarEffects& effects) {
  now_ = now;
  // Other upstreams accepted the flows after the death was recorded.
  while (const auto oldest = flows_.Oldest()) EndFlow(*oldest, effects);
  options_.incarnation = incarnation;
  options_.started = now;
  options_.permit_key = key;
  issuer_ = permit::PermitIssuer(options_.id, incarnation, key);
  permits_ = permit::PermitTable(options_.permit_capacity);
  membership_.gate().OnClaimed(incarnation);
}

void Sidecar::OnDeathRecorded(const membership::RecordDeath& record,
                              membership::RecordOutcome outcome,
                              TimePoint now) {
  membership_.OnDeathRecorded(record, outcome, now);
}

void Sidecar::OnUpstreamProbed(bool refused, TimePoint now) {
  if (refused) {
    membership_.upstream().OnRefused(now);
  } else {
    membership_.upstream().OnAnswered(now);
  }
}

void Sidecar::OnHealthReport(bool healthy, TimePoint now) {
  membership_.upstream().OnHealthHint(healthy, now);
}

}  // namespace cowslip::engine
