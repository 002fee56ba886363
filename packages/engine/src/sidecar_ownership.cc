// Sidecar: announcing the ownership of flows to other sidecars by redirects,
// and resolving conflicts between two owners.
#include <algorithm>

#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Number of times per idle timeout that the redirects of a flow are sent.
constexpr int kRefreshesPerTimeout = 3;
/// Number of times that the first redirects of a flow are sent, because
/// redirects are not acknowledged and may be lost.
constexpr std::uint8_t kFirstAnnouncements = 3;
/// Interval of the first redirects.
constexpr std::chrono::milliseconds kAnnouncementInterval{20};

/// @return whether both views have the same ranking and the same sidecars.
bool SameMembers(const membership::ServiceView& a,
                 const membership::ServiceView& b) {
  const auto same = [](const Upstream& left, const Upstream& right) {
    return left.id == right.id && left.incarnation == right.incarnation &&
           left.weight == right.weight && left.sidecar == right.sidecar;
  };
  return std::equal(a.upstreams.begin(), a.upstreams.end(), b.upstreams.begin(),
                    b.upstreams.end(), same);
}

}  // namespace

using link::Frame;
using link::FrameHeader;
using link::FrameKind;

bool Sidecar::Owns(const FlowKey& key) const {
  const auto slot = flows_.Find(key);
  return slot && !flows_.At(*slot).delegated;
}

FrameHeader Sidecar::MakeRedirect(const flow::Flow& flow) const {
  auto header = MakeHeader(FrameKind::kRedirect);
  header.flow = flow.key;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now_ - flow.accepted_at);
  header.sequence = static_cast<std::uint64_t>(age.count());
  return header;
}

void Sidecar::SendRedirect(const flow::Flow& flow, const Endpoint& to,
                           SidecarEffects& effects) {
  counters_->Add(Counter::kRedirectsSent);
  effects.frames.push_back({to, MakeRedirect(flow), {}});
}

void Sidecar::AnnounceOwnership(const flow::Flow& flow,
                                const FrameHeader& header,
                                SidecarEffects& effects) {
  // The sidecar of the last hop may be missing in this view because it is new.
  bool sent_to_last_hop = last_sender_ == header.balancer;
  for (const auto id : header.visited.ids()) {
    const auto* upstream = service_->Find(id);
    if (upstream == nullptr || id == options_.id) continue;
    if (upstream->sidecar == last_sender_) sent_to_last_hop = true;
    SendRedirect(flow, upstream->sidecar, effects);
  }
  if (!sent_to_last_hop) SendRedirect(flow, last_sender_, effects);
}

void Sidecar::UpdateMembersEpoch(const membership::ServiceView* old_service) {
  if (old_service != nullptr && SameMembers(*old_service, *service_)) return;
  ++members_epoch_;
}

void Sidecar::RefreshRedirects(flow::Flow& flow, SidecarEffects& effects) {
  if (flow.announced_epoch != members_epoch_) {
    flow.announced_epoch = members_epoch_;
    flow.announcements = 0;
  }
  const bool first = flow.announcements < kFirstAnnouncements;
  const Duration interval = first ? Duration(kAnnouncementInterval)
                                  : IdleTimeout() / kRefreshesPerTimeout;
  const bool due =
      flow.announcements == 0 || now_ - flow.last_announced >= interval;
  if (!due) return;
  if (first) ++flow.announcements;
  flow.last_announced = now_;
  bool outranked = false;
  for (const auto* upstream : RankedUpstreams(flow.key)) {
    if (upstream->id == options_.id) break;
    outranked = true;
    SendRedirect(flow, upstream->sidecar, effects);
  }
  if (outranked && first) resends_.Add(flow.key, now_ + kAnnouncementInterval);
}

void Sidecar::ResendRedirects(SidecarEffects& effects) {
  while (const auto key = resends_.Take(now_)) {
    const auto slot = flows_.Find(*key);
    if (!slot || flows_.At(*slot).delegated) continue;
    RefreshRedirects(flows_.At(*slot), effects);
  }
}

void Sidecar::OnRedirect(const Frame& frame, const Endpoint& from,
                         SidecarEffects& effects) {
  const auto& header = frame.header;
  if (header.service != options_.service || service_ == nullptr) return;
  const auto slot = flows_.Find(header.flow);
  if (slot && !flows_.At(*slot).delegated) {
    Arbitrate(*slot, frame, from, effects);
    return;
  }
  redirects_.Insert(header.flow, UpstreamId(header.sender), header.incarnation,
                    now_);
}

/// Resolves a conflict: this upstream and the sender both own the flow.
void Sidecar::Arbitrate(flow::FlowSlot slot, const Frame& frame,
                        const Endpoint& from, SidecarEffects& effects) {
  const auto& header = frame.header;
  const auto& flow = flows_.At(slot);
  // During a handover the successor already owns the flow, but does not have
  // all of its observations yet.
  if (draining_ && observations_.Has(slot)) return;
  const auto other_owner = UpstreamId(header.sender);
  auto claim = MakeRedirect(flow);
  const bool is_arbiter = flow::IsArbiter(options_.id, other_owner);
  const bool must_yield =
      is_arbiter &&
      !flow::ArbiterKeepsFlow(now_ - flow.accepted_at,
                              std::chrono::milliseconds(header.sequence));
  if (must_yield || header.Has(link::kFlagMustYield)) {
    Yield(slot, frame, effects);
    return;
  }
  if (is_arbiter) claim.flags |= link::kFlagMustYield;
  effects.frames.push_back({from, claim, {}});
}

/// Yields the flow to the sender, but not while a permitted request of the flow
/// runs at this upstream; the next redirect of the sender tries again.
void Sidecar::Yield(flow::FlowSlot slot, const Frame& frame,
                    SidecarEffects& effects) {
  if (runs_.HasRunOf(slot)) return;
  const auto& header = frame.header;
  counters_->Add(Counter::kFlowsYielded);
  EndFlow(slot, effects);
  redirects_.Insert(header.flow, UpstreamId(header.sender), header.incarnation,
                    now_);
}

}  // namespace cowslip::engine
