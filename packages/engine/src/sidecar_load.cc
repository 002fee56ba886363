#include <algorithm>
#include <limits>

#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Upstreams that a piece of work may visit in search of room.
constexpr std::size_t kMaxVisits = 8;
/// An upstream counts as faster if it takes at most this share of the time.
constexpr double kFaster = 0.7;

std::uint32_t ToMicroseconds(Duration wait) {
  const auto count =
      std::chrono::duration_cast<std::chrono::microseconds>(wait).count();
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
  const auto own = paces_.Find(upstream);
  const auto other = paces_.Find(than);
  return own != 0 && other != 0 && own <= other * kFaster;
}

/// @return the fastest active upstream that the work has not visited, the
///     first-ranked one among equals, or nullptr.
const Upstream* Sidecar::FastestUnvisited(const FrameHeader& header) {
  const Upstream* best = nullptr;
  for (const auto* upstream : RankedFor(header.flow)) {
    const bool able = upstream->id != options_.id &&
                      upstream->state == UpstreamState::kActive &&
                      !header.visited.Contains(upstream->id) &&
                      !contacts_.IsSilent(upstream->id) &&
                      !members_.Avoids(upstream->id, now_);
    if (!able) continue;
    if (best == nullptr || IsFaster(upstream->id, best->id)) best = upstream;
  }
  return best;
}

/// @return whether a request may run here without asking others.
bool Sidecar::HasRoom(const Frame& frame, TimePoint now) {
  if (!AdmitsWork()) return false;
  if (frame.header.Has(link::kFlagMustAccept)) return true;
  return admission_.Judge(now) == flow::Verdict::kAdmit;
}

/// Notes this upstream's queue and chooses who is asked next.
/// @return nullptr if this upstream is to take or shed the work.
const Upstream* Sidecar::NextForWork(FrameHeader& header, bool guest,
                                     TimePoint now) {
  if (header.Has(link::kFlagMustAccept)) return nullptr;
  paces_.Learn(options_.id, ServiceTime());
  const bool takes = AdmitsWork() && (guest || !IsFull());
  const auto wait = ToMicroseconds(admission_.ExpectedWait(now));
  auto& least = header.least_loaded;
  if (!header.Has(link::kFlagOffloaded)) least = {};
  if (takes &&
      (least.upstream == UpstreamId{} || wait < least.expected_wait_us)) {
    least = {options_.id, wait};
  }
  const auto visits = header.visited.ids().size() + 1;
  const auto* next = FastestUnvisited(header);
  const bool found =
      least.upstream != UpstreamId{} && least.expected_wait_us == 0;
  const bool search = next != nullptr && visits < kMaxVisits && !found;
  if (search) return next;
  header.flags |= link::kFlagMustAccept;
  if (least.upstream == options_.id) return nullptr;
  return service_->Find(least.upstream);
}

bool Sidecar::PassWork(const Frame& frame, std::uint8_t extra_flags,
                       TimePoint now, SidecarEffects& effects) {
  Frame passed = frame;
  // Those that were asked who owns the flow were not asked for room.
  if (!frame.header.Has(link::kFlagOffloaded)) {
    passed.header.visited.ClearVisited();
  }
  const bool guest = (extra_flags & link::kFlagDelegated) != 0;
  const auto* next = NextForWork(passed.header, guest, now);
  if (next == nullptr) return false;
  if (!guest) {
    redirects_.Insert(frame.header.flow, next->id, next->incarnation, now);
  }
  Forward(passed, *next,
          static_cast<std::uint8_t>(extra_flags | link::kFlagOffloaded),
          effects);
  return true;
}

}  // namespace cowslip::engine
