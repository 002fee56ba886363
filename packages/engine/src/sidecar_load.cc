#include <algorithm>
#include <limits>

#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Upstreams that a request may visit in search of a free slot.
constexpr std::size_t kMaxVisitedUpstreams = 8;

std::uint32_t ToMicroseconds(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(count, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

using link::Frame;
using link::FrameHeader;

std::uint32_t Sidecar::ServiceTime() const {
  return ToMicroseconds(admission_.service_time());
}

bool Sidecar::IsFaster(UpstreamId upstream, UpstreamId than) const {
  return IsMuchFaster(service_times_.Find(upstream), service_times_.Find(than));
}

/// @return whether a frame can be forwarded to an upstream in search of a free
///     slot.
bool Sidecar::CanOffloadTo(const FrameHeader& header,
                           const Upstream& upstream) {
  return upstream.id != options_.id &&
         upstream.state == UpstreamState::kActive &&
         !header.visited.Contains(upstream.id) &&
         !detector_.IsUnresponsive(upstream.id) &&
         !membership_.ShouldAvoid(upstream.id, now_);
}

/// @return the fastest active upstream that the frame has not visited, on a tie
///     the first-ranked one; or nullptr.
const Upstream* Sidecar::FastestUnvisited(const FrameHeader& header) {
  const Upstream* best = nullptr;
  for (const auto* upstream : RankedUpstreams(header.flow)) {
    if (!CanOffloadTo(header, *upstream)) continue;
    if (best == nullptr || IsFaster(upstream->id, best->id)) best = upstream;
  }
  return best;
}

/// @return whether a request may run at this upstream, without an attempt to
///     offload it.
bool Sidecar::HasCapacity(const Frame& frame, TimePoint now) {
  if (!AcceptsNewWork()) return false;
  if (frame.header.Has(link::kFlagMustAccept)) {
    claims_.Use(now);
    return true;
  }
  return admission_.Decide(now) == flow::AdmissionDecision::kAdmit;
}

/// Compares the expected wait at this upstream with the least of those visited
/// before, and chooses the next upstream: first the one that a hint names, then
/// an unvisited one, or in the end the one with the least wait.
/// @return nullptr if this upstream has to accept or shed the work.
const Upstream* Sidecar::ChooseOffloadTarget(FrameHeader& header,
                                             bool delegated, TimePoint now) {
  if (header.Has(link::kFlagMustAccept)) return nullptr;
  service_times_.Update(options_.id, ServiceTime());
  const bool can_accept = AcceptsNewWork() && (delegated || !IsAtFlowLimit());
  const auto wait =
      ToMicroseconds(admission_.ExpectedWait(now, claims_.Count(now)));
  const auto* hinted = HintedUpstream(header);
  const bool prefers_hint = delegated && PrefersHint(header);
  auto& least = header.least_loaded;
  if (!header.Has(link::kFlagOffloaded)) least = {};
  if (can_accept &&
      (least.upstream == UpstreamId{} || wait < least.expected_wait_us)) {
    least = {options_.id, wait};
    claims_.Add(now);
  }
  const auto visits = header.visited.ids().size() + 1;
  const auto* next = hinted != nullptr ? hinted : FastestUnvisited(header);
  const bool has_free_slot =
      least.upstream != UpstreamId{} && least.expected_wait_us == 0;
  const bool search_further = next != nullptr &&
                              visits < kMaxVisitedUpstreams &&
                              (prefers_hint || !has_free_slot);
  if (search_further) return next;
  header.flags |= link::kFlagMustAccept;
  if (least.upstream == options_.id) {
    claims_.Use(now);
    return nullptr;
  }
  return service_->Find(least.upstream);
}

/// Offloads a frame: forwards it to an upstream with less load.
/// @return false if this upstream has to accept or shed the work.
bool Sidecar::Offload(const Frame& frame, std::uint8_t extra_flags,
                      TimePoint now, SidecarEffects& effects) {
  Frame forwarded = frame;
  // The upstreams visited by the owner lookup were not queried for a free slot.
  if (!frame.header.Has(link::kFlagOffloaded)) {
    forwarded.header.visited.ClearVisited();
  }
  const bool delegated = (extra_flags & link::kFlagDelegated) != 0;
  const auto* next = ChooseOffloadTarget(forwarded.header, delegated, now);
  if (next == nullptr) return false;
  if (!delegated) {
    redirects_.Insert(frame.header.flow, next->id, next->incarnation, now);
  }
  Forward(forwarded, *next,
          static_cast<std::uint8_t>(extra_flags | link::kFlagOffloaded),
          effects);
  return true;
}

}  // namespace cowslip::engine
