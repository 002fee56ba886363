#include <algorithm>
#include <limits>

#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Upstreams that a piece of work may visit in search of room.
constexpr std::size_t kMaxVisits = 8;

std::uint32_t ToMicroseconds(Duration wait) {
  const auto count =
      std::chrono::duration_cast<std::chrono::microseconds>(wait).count();
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(count, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

using link::Frame;
using link::FrameHeader;

bool Sidecar::HasRoom(const Frame& frame, TimePoint now) {
  if (!AdmitsWork()) return false;
  if (frame.header.Has(link::kFlagMustTake)) return true;
  return admission_.Judge(now) == flow::Verdict::kAdmit;
}

/// Notes this upstream's queue and chooses who is asked next.
/// @return nullptr if this upstream is to take or shed the work.
const Upstream* Sidecar::NextForWork(FrameHeader& header, TimePoint now) {
  if (header.Has(link::kFlagMustTake)) return nullptr;
  const bool takes = AdmitsWork();
  const auto wait = ToMicroseconds(admission_.ExpectedWait(now));
  auto& least = header.least_queued;
  const bool first = !header.Has(link::kFlagPassedOn);
  if (first) least = {};
  if (takes && (least.upstream == UpstreamId{} || wait < least.queue)) {
    least = {options_.id, wait};
  }
  const auto& visited = header.visited;
  if (visited.ids().size() + 1 < kMaxVisits) {
    for (const auto* upstream : RankedFor(header.flow)) {
      if (upstream->id == options_.id || visited.Contains(upstream->id)) {
        continue;
      }
      if (contacts_.IsSilent(upstream->id)) continue;
      if (upstream->state != UpstreamState::kActive) continue;
      if (!members_.Avoids(upstream->id, now)) return upstream;
    }
  }
  header.flags |= link::kFlagMustTake;
  if (least.upstream == options_.id) return nullptr;
  return service_->Find(least.upstream);
}

bool Sidecar::PassWork(const Frame& frame, std::uint8_t extra_flags,
                       TimePoint now, SidecarEffects& effects) {
  Frame passed = frame;
  // Those that were asked who owns the flow were not asked for room.
  if (!frame.header.Has(link::kFlagPassedOn)) {
    passed.header.visited.ForgetVisited();
  }
  const auto* next = NextForWork(passed.header, now);
  if (next == nullptr) return false;
  if ((extra_flags & link::kFlagGuest) == 0) {
    redirects_.Learn(frame.header.flow, next->id, next->incarnation, now);
  }
  Forward(passed, *next,
          static_cast<std::uint8_t>(extra_flags | link::kFlagPassedOn),
          effects);
  return true;
}

}  // namespace cowslip::engine
