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

void Sidecar::RefuseWrongService(const FrameHeader& header,
                                 const Endpoint& from,
                                 SidecarEffects& effects) {
  counters_->Add(Counter::kDropWrongService);
  if (view_ == nullptr || header.ticket >= view_->ticket()) return;
  effects.frames.push_back({from, MakeHeader(FrameKind::kTicketNumber), {}});
}

void Sidecar::OnCallerData(const Frame& frame, const Endpoint& from,
                           TimePoint now, SidecarEffects& effects) {
  if (!IsForThisService(frame.header)) {
    RefuseWrongService(frame.header, from, effects);
    return;
  }
  counters_->Add(Counter::kCallerDatagrams);
  const auto slot = flows_.Find(frame.header.flow);
  if (slot && !flows_.At(*slot).guest) {
    ServeOwned(*slot, frame, now, effects);
  } else if (frame.header.Has(link::kFlagDelegated)) {
    ServeGuest(frame, now, effects);
  } else {
    OnUnknownFlow(frame, now, effects);
  }
}

void Sidecar::OnUnknownFlow(const Frame& frame, TimePoint now,
                            SidecarEffects& effects) {
  if (ForwardByRedirect(frame, now, effects)) return;
  if (!frame.header.Has(link::kFlagLookupDone) &&
      ContinueWalk(frame, now, effects)) {
    return;
  }
  Settle(frame, now, effects);
}

bool Sidecar::ForwardByRedirect(const Frame& frame, TimePoint now,
                                SidecarEffects& effects) {
  const auto& key = frame.header.flow;
  const auto redirect = redirects_.Find(key, now);
  if (!redirect) return false;
  const auto* owner = service_->Find(redirect->owner);
  // A redirect may name an incarnation that this view doesn't know yet.
  const bool alive = owner != nullptr &&
                     owner->incarnation <= redirect->incarnation &&
                     !contacts_.IsSilent(owner->id);
  if (!alive || owner->id == options_.id ||
      frame.header.visited.Contains(owner->id)) {
    redirects_.Erase(key);
    return false;
  }
  redirects_.Insert(key, redirect->owner, redirect->incarnation, now);
  Forward(frame, *owner, link::kFlagRedirected, effects);
  return true;
}

bool Sidecar::ContinueWalk(const Frame& frame, TimePoint now,
                           SidecarEffects& effects) {
  const auto& visited = frame.header.visited;
  if (visited.full()) return false;
  const flow::LookupLimits window{
      IdleTimeout() + options_.clock_skew + options_.view_lag,
      options_.clock_skew};
  const auto place = [&](const Upstream& upstream) {
    if (upstream.id == options_.id) return flow::LookupState::kSelf;
    const bool passed =
        visited.Contains(upstream.id) || contacts_.IsSilent(upstream.id);
    return passed ? flow::LookupState::kSkipped : flow::LookupState::kUnvisited;
  };
  const auto* next = flow::NextLookupTarget(
      RankedFor(frame.header.flow), window, options_.started, now, place);
  if (next == nullptr) return false;
  counters_->Add(Counter::kWalkHops);
  Forward(frame, *next, 0, effects);
  return true;
}

/// @return the first-ranked upstream before this one that was asked on the walk
///     and can adopt, or nullptr.
const Upstream* Sidecar::FirstToAdopt(const FrameHeader& header) {
  for (const auto* upstream : RankedFor(header.flow)) {
    if (upstream->id == options_.id) return nullptr;
    const bool asked = header.visited.Contains(upstream->id) &&
                       !header.visited.IsUnresponsive(upstream->id);
    if (asked && upstream->state == UpstreamState::kActive) return upstream;
  }
  return nullptr;
}

/// Brings a flow that nobody owns to the first-ranked upstream that takes it.
void Sidecar::Settle(const Frame& frame, TimePoint now,
                     SidecarEffects& effects) {
  const auto& header = frame.header;
  if (service_->service.protocol == ticket::Protocol::kCoap &&
      IsAnswer(frame.payload)) {
    counters_->Add(Counter::kDropUnknownFlow);
    return;
  }
  if (!header.Has(link::kFlagLookupDone)) {
    if (const auto* first = FirstToAdopt(header)) {
      Forward(frame, *first, link::kFlagLookupDone, effects);
      return;
    }
  }
  if (CanAdopt(now) || header.Has(link::kFlagMustAccept)) {
    Adopt(frame, now, effects);
  } else {
    PassOn(frame, now, effects);
  }
}

bool Sidecar::CanAdopt(TimePoint now) {
  if (!AdmitsWork() || IsFull()) return false;
  if (service_->service.protocol == ticket::Protocol::kDatagram) return true;
  return admission_.Judge(now) == flow::Verdict::kAdmit;
}

/// Makes this upstream the owner of a flow, if there is room for it.
std::optional<flow::FlowSlot> Sidecar::Own(const FlowKey& key, TimePoint now) {
  auto slot = flows_.Find(key);
  if (slot && !flows_.At(*slot).guest) return slot;
  if (!AdmitsWork() || IsFull()) return std::nullopt;
  if (!slot) return flows_.Insert(key, now);
  flows_.At(*slot).guest = false;
  flows_.At(*slot).adopted = now;
  --guest_count_;
  return slot;
}

void Sidecar::Adopt(const Frame& frame, TimePoint now,
                    SidecarEffects& effects) {
  const auto& header = frame.header;
  const auto slot = Own(header.flow, now);
  if (!slot) {
    counters_->Add(Counter::kFlowsRefused);
    return;
  }
  counters_->Add(Counter::kFlowsAdopted);
  redirects_.Erase(header.flow);
  AnnounceOwnership(flows_.At(*slot), header, effects);
  ServeOwned(*slot, frame, now, effects);
}

void Sidecar::PassOn(const Frame& frame, TimePoint now,
                     SidecarEffects& effects) {
  if (PassWork(frame, link::kFlagLookupDone, now, effects)) {
    counters_->Add(Counter::kFlowsPassedOn);
  } else {
    Adopt(frame, now, effects);
  }
}

void Sidecar::ServeGuest(const Frame& frame, TimePoint now,
                         SidecarEffects& effects) {
  auto slot = flows_.Find(frame.header.flow);
  if (!slot) slot = flows_.Insert(frame.header.flow, now);
  if (!slot) {
    counters_->Add(Counter::kFlowsRefused);
    return;
  }
  auto& flow = flows_.At(*slot);
  if (!flow.guest) ++guest_count_;
  flow.guest = true;
  guests_.Add(*slot, flow.key, now);
  ServeOwned(*slot, frame, now, effects);
}

void Sidecar::Forward(const Frame& frame, const Upstream& to,
                      std::uint8_t extra_flags, SidecarEffects& effects) {
  auto header = frame.header;
  // The end of a walk goes back to an upstream that was asked, once; it needs
  // no place in the list.
  const bool ends_walk = (extra_flags & link::kFlagLookupDone) != 0 &&
                         !header.Has(link::kFlagLookupDone);
  if (!header.visited.Add(options_.id) && !ends_walk) {
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
  if (contacts_.OnSent(to.id, now_)) SendProbe(to, effects);
}

void Sidecar::SendProbe(const Upstream& to, SidecarEffects& effects) {
  counters_->Add(Counter::kProbesSent);
  effects.frames.push_back({to.sidecar, MakeHeader(FrameKind::kProbe), {}});
}

void Sidecar::ProbeSuspects(SidecarEffects& effects) {
  if (service_ == nullptr) return;
  for (const auto id : contacts_.TakeDue(now_)) {
    const auto* upstream = service_->Find(id);
    if (upstream != nullptr) SendProbe(*upstream, effects);
  }
}

void Sidecar::ServeOwned(flow::FlowSlot slot, const Frame& frame, TimePoint now,
                         SidecarEffects& effects) {
  flows_.Touch(slot, now);
  auto& flow = flows_.At(slot);
  flow.balancer = frame.header.balancer;
  // Behind a redirect only the last hop is known to have one.
  const auto& visited = frame.header.visited;
  const auto asked = visited.ids().size() - visited.unresponsive_count();
  const bool searched =
      asked > (frame.header.Has(link::kFlagRedirected) ? 1U : 0U) &&
      !frame.header.Has(link::kFlagDelegated);
  if (searched) AnnounceOwnership(flow, frame.header, effects);
  if (!flow.guest) RefreshRedirects(flow, effects);
  if (service_->service.protocol == ticket::Protocol::kCoap) {
    if (TrackCallerMessage(slot, frame.payload, effects)) return;
    OnCallerMessage(slot, frame.payload, frame, now, effects);
  } else {
    effects.datagrams.push_back({slot, frame.payload});
  }
}

bool Sidecar::IsFull() const {
  return flows_.size() - guest_count_ >= service_->service.max_flows;
}

void Sidecar::ExpireGuests(TimePoint now, SidecarEffects& effects) {
  while (const auto guest = guests_.TakeIdle(flows_, now)) {
    if (runs_.Has(*guest)) {
      guests_.Add(*guest, flows_.At(*guest).key, now);
    } else {
      EndFlow(*guest, effects);
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
  if (flows_.At(slot).guest) --guest_count_;
  observations_.Erase(slot);
  flows_.Erase(slot);
  effects.closes.push_back({slot});
}

}  // namespace cowslip::engine
