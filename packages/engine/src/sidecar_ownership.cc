// How the owner of a flow makes itself known to other sidecars.
#include <algorithm>

#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Redirects are renewed this many times per idle timeout.
constexpr int kRefreshesPerTimeout = 3;
/// Redirects are not acknowledged: the first ones are sent several times.
constexpr std::uint8_t kFirstAnnouncements = 3;
constexpr std::chrono::milliseconds kAnnouncementInterval{20};

/// @return whether both have the same ranking and the same sidecars.
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
  return slot && !flows_.At(*slot).guest;
}

FrameHeader Sidecar::MakeRedirect(const flow::Flow& flow) const {
  auto header = MakeHeader(FrameKind::kRedirect);
  header.flow = flow.key;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now_ - flow.adopted);
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
  // The last hop may be too new for this view.
  bool told_last_hop = from_ == header.balancer;
  for (const auto id : header.visited.ids()) {
    const auto* upstream = service_->Find(id);
    if (upstream == nullptr || id == options_.id) continue;
    if (upstream->sidecar == from_) told_last_hop = true;
    SendRedirect(flow, upstream->sidecar, effects);
  }
  if (!told_last_hop) SendRedirect(flow, from_, effects);
}

void Sidecar::NoteMembers(const membership::ServiceView* before) {
  if (before != nullptr && SameMembers(*before, *service_)) return;
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
  bool displaced = false;
  for (const auto* upstream : RankedFor(flow.key)) {
    if (upstream->id == options_.id) break;
    displaced = true;
    SendRedirect(flow, upstream->sidecar, effects);
  }
  if (displaced && first) repeats_.Add(flow.key, now_ + kAnnouncementInterval);
}

void Sidecar::RepeatRedirects(SidecarEffects& effects) {
  while (const auto key = repeats_.Take(now_)) {
    const auto slot = flows_.Find(*key);
    if (!slot || flows_.At(*slot).guest) continue;
    RefreshRedirects(flows_.At(*slot), effects);
  }
}

void Sidecar::OnRedirect(const Frame& frame, const Endpoint& from,
                         SidecarEffects& effects) {
  const auto& header = frame.header;
  if (header.service != options_.service || service_ == nullptr) return;
  const auto slot = flows_.Find(header.flow);
  if (slot && !flows_.At(*slot).guest) {
    Arbitrate(*slot, frame, from, effects);
    return;
  }
  redirects_.Insert(header.flow, UpstreamId(header.sender), header.incarnation,
                    now_);
}

/// Settles a flow that this upstream and the sender both own.
void Sidecar::Arbitrate(flow::FlowSlot slot, const Frame& frame,
                        const Endpoint& from, SidecarEffects& effects) {
  const auto& header = frame.header;
  const auto& flow = flows_.At(slot);
  // The successor of a handover owns the flow before it has all of its feeds.
  if (draining_ && observations_.Has(slot)) return;
  const auto other = UpstreamId(header.sender);
  auto claim = MakeRedirect(flow);
  const bool judge = flow::IsJudge(options_.id, other);
  const bool loses =
      judge && !flow::JudgeKeeps(now_ - flow.adopted,
                                 std::chrono::milliseconds(header.sequence));
  if (loses || header.Has(link::kFlagMustYield)) {
    Yield(slot, frame, effects);
    return;
  }
  if (judge) claim.flags |= link::kFlagMustYield;
  effects.frames.push_back({from, claim, {}});
}

/// Leaves the flow to the sender. A permitted request that runs here ends
/// first; the next redirect of the sender asks again.
void Sidecar::Yield(flow::FlowSlot slot, const Frame& frame,
                    SidecarEffects& effects) {
  if (runs_.Has(slot)) return;
  const auto& header = frame.header;
  counters_->Add(Counter::kFlowsYielded);
  EndFlow(slot, effects);
  redirects_.Insert(header.flow, UpstreamId(header.sender), header.incarnation,
                    now_);
}

}  // namespace cowslip::engine
