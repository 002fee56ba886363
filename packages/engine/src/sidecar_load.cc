#include <algorithm>
#include <limits>

#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Upstreams that a request may visit in search of a free slot.
constexpr std::size_t kMaxVisitedUpstreams = 8;
/// An upstream counts as faster than another one if its mean service time is at
/// most this share of the other's.
constexpr double kFasterRatio = 0.7;

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
  const auto upstream_time = service_times_.Find(upstream);
  const auto reference_time = service_times_.Find(than);
  return upstream_time != 0 && reference_time != 0 &&
         upstream_time <= reference_time * kFasterRatio;
}

/// @return the fastest active upstream that the frame has not visited, on a tie
///     the first-ranked one; or nullptr.
const Upstream* Sidecar::FastestUnvisited(const FrameHeader& header) {
  const Upstream* best = nullptr;
  for (const auto* upstream : RankedUpstreams(header.flow)) {
    const bool eligible = upstream->id != options_.id &&
                          upstream->state == UpstreamState::kActive &&
                          !header.visited.Contains(upstream->id) &&
                          !detector_.IsUnresponsive(upstream->id) &&
                          !membership_.ShouldAvoid(upstream->id, now_);
    if (!eligible) continue;
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
/// before, and chooses the next upstream: an unvisited one, or in the end the
/// one with the least wait.
/// @return nullptr if this upstream has to accept or shed the work.
const Upstream* Sidecar::ChooseOffloadTarget(FrameHeader& header,
                                             bool delegated, TimePoint now) {
  if (header.Has(link::kFlagMustAccept)) return nullptr;
  service_times_.Update(options_.id, ServiceTime());
  const bool can_accept = AcceptsNewWork() && (delegated || !IsAtFlowLimit());
  const auto wait =
      ToMicroseconds(admission_.ExpectedWait(now, claims_.Count(now)));
  auto& least = header.least_loaded;
  if (!header.Has(link::kFlagOffloaded)) least = {};
  if (can_accept &&
      (least.upstream == UpstreamId{} || wait < least.expected_wait_us)) {
    least = {options_.id, wait};
    claims_.Add(now);
  }
  const auto visits = header.visited.ids().size() + 1;
  const auto* next = FastestUnvisited(header);
  const bool has_free_slot =
      least.upstream != UpstreamId{} && least.expected_wait_us == 0;
  const bool search_further =
      next != nullptr && visits < kMaxVisitedUpstreams && !has_free_slot;
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
