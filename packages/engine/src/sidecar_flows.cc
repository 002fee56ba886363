#include "coap_peek.h"
#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
using link::Frame;
using link::FrameHeader;
using link::FrameKind;

bool Sidecar::IsForThisService(const FrameHeader& header) const {
  return service_ != nullptr && header.service == options_.service &&
         header.flow.service == service_->service.address;
}

void Sidecar::RejectWrongService(const FrameHeader& header,
                                 const Endpoint& from,
                                 SidecarEffects& effects) {
  counters_->Add(Counter::kDropWrongService);
  if (view_ == nullptr || header.ticket >= view_->ticket()) return;
  effects.frames.push_back({from, MakeHeader(FrameKind::kTicketNumber), {}});
}

void Sidecar::OnCallerData(const Frame& frame, const Endpoint& from,
                           TimePoint now, SidecarEffects& effects) {
  if (!IsForThisService(frame.header)) {
    RejectWrongService(frame.header, from, effects);
    return;
  }
  counters_->Add(Counter::kCallerDatagrams);
  const auto slot = flows_.Find(frame.header.flow);
  if (slot && !flows_.At(*slot).delegated) {
    ServeFlow(*slot, frame, now, effects);
  } else if (frame.header.Has(link::kFlagDelegated)) {
    ServeDelegated(frame, now, effects);
  } else {
    OnUnknownFlow(frame, now, effects);
  }
}

void Sidecar::OnUnknownFlow(const Frame& frame, TimePoint now,
                            SidecarEffects& effects) {
  if (ForwardByRedirect(frame, now, effects)) return;
  if (!frame.header.Has(link::kFlagLookupDone) &&
      ContinueLookup(frame, now, effects)) {
    return;
  }
  AssignUnownedFlow(frame, now, effects);
}

bool Sidecar::ForwardByRedirect(const Frame& frame, TimePoint now,
                                SidecarEffects& effects) {
  const auto& key = frame.header.flow;
  const auto redirect = redirects_.Find(key, now);
  if (!redirect) return false;
  const auto* owner = service_->Find(redirect->owner);
  // A redirect may name a newer incarnation than the view of this sidecar.
  const bool alive = owner != nullptr &&
                     owner->incarnation <= redirect->incarnation &&
                     !detector_.IsUnresponsive(owner->id);
  if (!alive || owner->id == options_.id ||
      frame.header.visited.Contains(owner->id)) {
    redirects_.Erase(key);
    return false;
  }
  redirects_.Insert(key, redirect->owner, redirect->incarnation, now);
  Forward(frame, *owner, link::kFlagRedirected, effects);
  return true;
}

bool Sidecar::ContinueLookup(const Frame& frame, TimePoint now,
                             SidecarEffects& effects) {
  const auto& visited = frame.header.visited;
  if (visited.full()) return false;
  const flow::LookupLimits window{
      IdleTimeout() + options_.clock_skew + options_.view_lag,
      options_.clock_skew};
  const auto state_of = [&](const Upstream& upstream) {
    if (upstream.id == options_.id) return flow::LookupState::kSelf;
    const bool skipped =
        visited.Contains(upstream.id) || detector_.IsUnresponsive(upstream.id);
    return skipped ? flow::LookupState::kSkipped
                   : flow::LookupState::kUnvisited;
  };
  const auto* next =
      flow::NextLookupTarget(RankedUpstreams(frame.header.flow), window,
                             options_.started, now, state_of);
  if (next == nullptr) return false;
  counters_->Add(Counter::kWalkHops);
  Forward(frame, *next, 0, effects);
  return true;
}

/// @return the first-ranked upstream that can accept the flow, of those that
///     rank before this one and were queried in the owner lookup; or nullptr.
const Upstream* Sidecar::FirstVisitedCandidate(const FrameHeader& header) {
  for (const auto* upstream : RankedUpstreams(header.flow)) {
    if (upstream->id == options_.id) return nullptr;
    const bool queried = header.visited.Contains(upstream->id) &&
                         !header.visited.IsUnresponsive(upstream->id);
    if (queried && upstream->state == UpstreamState::kActive) return upstream;
  }
  return nullptr;
}

/// Finds an upstream for a flow without an owner: the first-ranked one that can
/// accept it.
void Sidecar::AssignUnownedFlow(const Frame& frame, TimePoint now,
                                SidecarEffects& effects) {
  const auto& header = frame.header;
  if (service_->service.protocol == ticket::Protocol::kCoap &&
      IsAnswer(frame.payload)) {
    counters_->Add(Counter::kDropUnknownFlow);
    return;
  }
  if (!header.Has(link::kFlagLookupDone)) {
    if (const auto* candidate = FirstVisitedCandidate(header)) {
      Forward(frame, *candidate, link::kFlagLookupDone, effects);
      return;
    }
  }
  if (CanAcceptFlow(now) || header.Has(link::kFlagMustAccept)) {
    AcceptFlow(frame, now, effects);
  } else {
    OffloadOrAccept(frame, now, effects);
  }
}

bool Sidecar::CanAcceptFlow(TimePoint now) {
  if (!AcceptsNewWork() || IsAtFlowLimit()) return false;
  if (service_->service.protocol == ticket::Protocol::kDatagram) return true;
  return admission_.Decide(now) == flow::AdmissionDecision::kAdmit;
}

/// Makes this upstream the owner of a flow.
/// @return std::nullopt if it accepts no new work or has too many flows.
std::optional<flow::FlowSlot> Sidecar::TakeOwnership(const FlowKey& key,
                                                     TimePoint now) {
  auto slot = flows_.Find(key);
  if (slot && !flows_.At(*slot).delegated) return slot;
  if (!AcceptsNewWork() || IsAtFlowLimit()) return std::nullopt;
  if (!slot) return flows_.Insert(key, now);
  flows_.At(*slot).delegated = false;
  flows_.At(*slot).accepted_at = now;
  --delegated_count_;
  return slot;
}

void Sidecar::AcceptFlow(const Frame& frame, TimePoint now,
                         SidecarEffects& effects) {
  const auto& header = frame.header;
  const auto slot = TakeOwnership(header.flow, now);
  if (!slot) {
    counters_->Add(Counter::kFlowsRefused);
    return;
  }
  counters_->Add(Counter::kFlowsAdopted);
  redirects_.Erase(header.flow);
  AnnounceOwnership(flows_.At(*slot), header, effects);
  ServeFlow(*slot, frame, now, effects);
}

void Sidecar::OffloadOrAccept(const Frame& frame, TimePoint now,
                              SidecarEffects& effects) {
  if (Offload(frame, link::kFlagLookupDone, now, effects)) {
    counters_->Add(Counter::kFlowsPassedOn);
  } else {
    AcceptFlow(frame, now, effects);
  }
}

void Sidecar::ServeDelegated(const Frame& frame, TimePoint now,
                             SidecarEffects& effects) {
  auto slot = flows_.Find(frame.header.flow);
  if (!slot) slot = flows_.Insert(frame.header.flow, now);
  if (!slot) {
    counters_->Add(Counter::kFlowsRefused);
    return;
  }
  auto& flow = flows_.At(*slot);
  if (!flow.delegated) ++delegated_count_;
  flow.delegated = true;
  delegated_flows_.Add(*slot, flow.key, now);
  ServeFlow(*slot, frame, now, effects);
}

void Sidecar::Forward(const Frame& frame, const Upstream& to,
                      std::uint8_t extra_flags, SidecarEffects& effects) {
  auto header = frame.header;
  // The hop that ends an owner lookup goes back to an upstream that was already
  // queried. It happens once, so it may exceed the capacity of the list.
  const bool ends_lookup = (extra_flags & link::kFlagLookupDone) != 0 &&
                           !header.Has(link::kFlagLookupDone);
  if (!header.visited.Add(options_.id) && !ends_lookup) {
    counters_->Add(Counter::kDropHopLimit);
    return;
  }
  header.flags &= static_cast<std::uint8_t>(~link::kFlagRedirected);
  header.flags |= extra_flags;
  header.sender = Raw(options_.id);
  header.incarnation = options_.incarnation;
  header.ticket = view_->ticket();
  header.service_time_us = ServiceTime();
  counters_->Add(Counter::kFramesForwarded);
  effects.frames.push_back({to.sidecar, header, frame.payload});
  if (detector_.OnSent(to.id, now_)) SendProbe(to, effects);
}

void Sidecar::SendProbe(const Upstream& to, SidecarEffects& effects) {
  counters_->Add(Counter::kProbesSent);
  effects.frames.push_back({to.sidecar, MakeHeader(FrameKind::kProbe), {}});
}

void Sidecar::ProbeSuspects(SidecarEffects& effects) {
  if (service_ == nullptr) return;
  for (const auto id : detector_.TakeDueProbes(now_)) {
    const auto* upstream = service_->Find(id);
    if (upstream != nullptr) SendProbe(*upstream, effects);
  }
}

void Sidecar::ServeFlow(flow::FlowSlot slot, const Frame& frame, TimePoint now,
                        SidecarEffects& effects) {
  flows_.Touch(slot, now);
  auto& flow = flows_.At(slot);
  flow.balancer = frame.header.balancer;
  // If the last hop forwarded the frame by a redirect, it has a current one.
  const auto& visited = frame.header.visited;
  const auto queried = visited.ids().size() - visited.unresponsive_count();
  const bool searched =
      queried > (frame.header.Has(link::kFlagRedirected) ? 1U : 0U) &&
      !frame.header.Has(link::kFlagDelegated);
  if (searched) AnnounceOwnership(flow, frame.header, effects);
  if (!flow.delegated) RefreshRedirects(flow, effects);
  if (service_->service.protocol == ticket::Protocol::kCoap) {
    if (TrackCallerMessage(slot, frame.payload, effects)) return;
    OnCallerMessage(slot, frame.payload, frame, now, effects);
  } else {
    effects.datagrams.push_back({slot, frame.payload});
  }
}

bool Sidecar::IsAtFlowLimit() const {
  return flows_.size() - delegated_count_ >= service_->service.max_flows;
}

void Sidecar::ExpireDelegatedFlows(TimePoint now, SidecarEffects& effects) {
  while (const auto idle_slot = delegated_flows_.TakeIdle(flows_, now)) {
    if (runs_.HasRunOf(*idle_slot)) {
      delegated_flows_.Add(*idle_slot, flows_.At(*idle_slot).key, now);
    } else {
      EndFlow(*idle_slot, effects);
    }
  }
}

void Sidecar::ExpireFlows(TimePoint now, SidecarEffects& effects) {
  while (const auto oldest = flows_.Oldest()) {
    if (now - flows_.At(*oldest).last_active < IdleTimeout()) return;
    counters_->Add(Counter::kFlowsExpired);
    EndFlow(*oldest, effects);
  }
}

void Sidecar::EndFlow(flow::FlowSlot slot, SidecarEffects& effects) {
  FailRuns(slot, effects);
  for (const auto& request : requests_.TakeAll(slot)) {
    (void)request;
    admission_.OnAbandoned(now_);
  }
  transfers_.Forget(slot);
  if (flows_.At(slot).delegated) --delegated_count_;
  observations_.Erase(slot);
  flows_.Erase(slot);
  effects.closes.push_back({slot});
}

}  // namespace cowslip::engine
