#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

std::optional<membership::LivenessMonitor> MakeMonitor(
    const SidecarOptions& options) {
  if (!options.monitor_neighbours) return std::nullopt;
  membership::LivenessOptions limits;
  limits.id = options.id;
  limits.service = options.service;
  limits.seed = options.seed + Raw(options.id);
  LastReason<membership::MembershipError> reason;
  return membership::LivenessMonitor::Create(limits, reason);
}

}  // namespace

using link::FrameKind;

MemberRole Sidecar::MakeRole(const SidecarOptions& options) {
  const membership::LeaseGate gate(options.lease, options.incarnation,
                                   options.claim_started);
  return {gate, MakeMonitor(options)};
}

bool Sidecar::AdmitsWork() const {
  return !draining_ && now_ >= refused_until_ && members_.Admits();
}

void Sidecar::OnMemberFrame(const link::FrameHeader& header,
                            const Endpoint& from, TimePoint now,
                            SidecarEffects& effects) {
  members_.OnFrame(header, from, MakeHeader(FrameKind::kProbeAck), draining_,
                   now, effects);
}

void Sidecar::StartDrain(SidecarEffects& effects) {
  draining_ = true;
  members_.AnnounceLeaving(MakeHeader(FrameKind::kProbeAck), effects);
}

void Sidecar::OnLeaseConfirmed(membership::LeaseCheckId question,
                               TimePoint now) {
  members_.OnEvent(now);
  members_.gate().OnVerified(question);
}

void Sidecar::OnSuperseded() { members_.gate().OnSuperseded(); }

void Sidecar::BeginIncarnation(Incarnation incarnation,
                               const permit::PermitKey& key, TimePoint now,
                               SidecarEffects& effects) {
  now_ = now;
  // Others took the flows over when the death was recorded.
  while (const auto oldest = flows_.Oldest()) EndFlow(*oldest, effects);
  options_.incarnation = incarnation;
  options_.started = now;
  options_.permit_key = key;
  issuer_ = permit::PermitIssuer(options_.id, incarnation, key);
  permits_ = permit::PermitTable(options_.permit_capacity);
  members_.gate().OnClaimed(incarnation);
}

void Sidecar::OnDeathRecorded(const membership::RecordDeath& record,
                              membership::RecordOutcome outcome,
                              TimePoint now) {
  members_.OnDeathRecorded(record, outcome, now);
}

void Sidecar::OnUpstreamProbed(bool refused, TimePoint now) {
  if (refused) {
    members_.upstream().OnRefused(now);
  } else {
    members_.upstream().OnAnswered(now);
  }
}

void Sidecar::OnHealthReport(bool healthy, TimePoint now) {
  members_.upstream().OnHealthHint(healthy, now);
}

}  // namespace cowslip::engine
