#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Redirects are renewed this many times per idle timeout.
constexpr int kRefreshesPerTimeout = 3;

}  // namespace

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
  effects.frames.push_back({from, MakeHeader(FrameKind::kTicketNotice), {}});
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
  } else if (frame.header.Has(link::kFlagGuest)) {
    ServeGuest(frame, now, effects);
  } else {
    OnUnknownFlow(frame, now, effects);
  }
}

void Sidecar::OnUnknownFlow(const Frame& frame, TimePoint now,
                            SidecarEffects& effects) {
  if (ForwardByRedirect(frame, now, effects)) return;
  if (!frame.header.Has(link::kFlagWalkDone) &&
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
  const bool alive =
      owner != nullptr && owner->incarnation == redirect->incarnation;
  if (!alive || owner->id == options_.id ||
      frame.header.visited.Contains(owner->id)) {
    redirects_.Forget(key);
    return false;
  }
  Forward(frame, *owner, link::kFlagByRedirect, effects);
  return true;
}

bool Sidecar::ContinueWalk(const Frame& frame, TimePoint now,
                           SidecarEffects& effects) {
  const auto& visited = frame.header.visited;
  if (visited.full()) return false;
  const flow::WalkWindow window{IdleTimeout() + options_.clock_skew,
                                options_.clock_skew};
  const auto seen = [&](const Upstream& upstream) {
    return upstream.id == options_.id || visited.Contains(upstream.id);
  };
  const auto* next =
      flow::NextOnWalk(RankedFor(frame.header.flow), window, now, seen);
  if (next == nullptr) return false;
  counters_->Add(Counter::kWalkHops);
  Forward(frame, *next, 0, effects);
  return true;
}

/// Brings a flow that nobody owns to the first-ranked upstream that takes it.
void Sidecar::Settle(const Frame& frame, TimePoint now,
                     SidecarEffects& effects) {
  const bool passed_on = frame.header.Has(link::kFlagPassedOn);
  const bool returned = frame.header.Has(link::kFlagWalkDone);
  if (!passed_on && !returned) {
    for (const auto* upstream : RankedFor(frame.header.flow)) {
      if (upstream->id == options_.id) break;
      if (upstream->state != UpstreamState::kActive) continue;
      if (!frame.header.visited.Contains(upstream->id)) continue;
      Forward(frame, *upstream, link::kFlagWalkDone, effects);
      return;
    }
  }
  if (CanAdopt(now) || frame.header.Has(link::kFlagMustTake)) {
    Adopt(frame, now, effects);
  } else {
    PassOn(frame, now, effects);
  }
}

bool Sidecar::CanAdopt(TimePoint now) {
  if (draining_ || now < refused_until_) return false;
  if (flows_.size() >= service_->service.max_flows) return false;
  if (service_->service.protocol == ticket::Protocol::kDatagram) return true;
  return admission_.Judge(now) == flow::Verdict::kAdmit;
}

void Sidecar::Adopt(const Frame& frame, TimePoint now,
                    SidecarEffects& effects) {
  const auto& header = frame.header;
  const bool full = flows_.size() >= service_->service.max_flows;
  auto slot = flows_.Find(header.flow);
  if (slot) {
    flows_.At(*slot).guest = false;
  } else if (!full && !draining_) {
    slot = flows_.Insert(header.flow, now);
  }
  if (!slot) {
    counters_->Add(Counter::kFlowsRefused);
    return;
  }
  counters_->Add(Counter::kFlowsAdopted);
  redirects_.Forget(header.flow);
  AnnounceOwnership(flows_.At(*slot), header.visited, now, effects);
  ServeOwned(*slot, frame, now, effects);
}

void Sidecar::PassOn(const Frame& frame, TimePoint now,
                     SidecarEffects& effects) {
  if (PassWork(frame, link::kFlagWalkDone, now, effects)) {
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
  flows_.At(*slot).guest = true;
  ServeOwned(*slot, frame, now, effects);
}

void Sidecar::Forward(const Frame& frame, const Upstream& to,
                      std::uint8_t extra_flags, SidecarEffects& effects) {
  auto header = frame.header;
  if (!header.visited.Add(options_.id)) {
    counters_->Add(Counter::kDropHopLimit);
    return;
  }
  header.flags |= extra_flags;
  header.sender = Raw(options_.id);
  header.incarnation = options_.incarnation;
  header.ticket = view_->ticket();
  counters_->Add(Counter::kFramesForwarded);
  effects.frames.push_back({to.sidecar, header, frame.payload});
}

void Sidecar::ServeOwned(flow::FlowSlot slot, const Frame& frame, TimePoint now,
                         SidecarEffects& effects) {
  flows_.Touch(slot, now);
  auto& flow = flows_.At(slot);
  flow.balancer = frame.header.balancer;
  const bool searched = !frame.header.visited.empty() &&
                        !frame.header.Has(link::kFlagByRedirect) &&
                        !frame.header.Has(link::kFlagGuest);
  if (searched) {
    AnnounceOwnership(flow, frame.header.visited, now, effects);
  }
  if (!flow.guest) RefreshRedirects(flow, now, effects);
  if (service_->service.protocol == ticket::Protocol::kCoap) {
    OnCallerMessage(slot, frame.payload, frame, now, effects);
  } else {
    effects.datagrams.push_back({slot, frame.payload});
  }
}

void Sidecar::AnnounceOwnership(flow::Flow& flow,
                                const link::VisitedList& visited, TimePoint,
                                SidecarEffects& effects) {
  auto header = MakeHeader(FrameKind::kRedirect);
  header.flow = flow.key;
  for (const auto id : visited.ids()) {
    const auto* upstream = service_->Find(id);
    if (upstream == nullptr || id == options_.id) continue;
    counters_->Add(Counter::kRedirectsSent);
    effects.frames.push_back({upstream->sidecar, header, {}});
  }
}

void Sidecar::RefreshRedirects(flow::Flow& flow, TimePoint now,
                               SidecarEffects& effects) {
  const bool due =
      flow.announced_epoch != view_->epoch() ||
      now - flow.last_announced >= IdleTimeout() / kRefreshesPerTimeout;
  if (!due) return;
  flow.announced_epoch = view_->epoch();
  flow.last_announced = now;
  auto header = MakeHeader(FrameKind::kRedirect);
  header.flow = flow.key;
  for (const auto* upstream : RankedFor(flow.key)) {
    if (upstream->id == options_.id) break;
    counters_->Add(Counter::kRedirectsSent);
    effects.frames.push_back({upstream->sidecar, header, {}});
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
  flows_.Erase(slot);
  effects.closes.push_back({slot});
}

}  // namespace cowslip::engine
