#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {

using link::FrameHeader;

/// @return the free slots to report to a balancer; none if this upstream
///     accepts no work.
link::LeastLoaded Sidecar::FreeSlotReport() {
  const auto load = admission_.load(now_);
  const auto slots = admission_.usable_slots(now_);
  const bool is_free = AcceptsNewWork() && load < slots;
  return {options_.id, is_free ? slots - load : 0};
}

/// @return the upstream that a balancer's hint names, if the request can be
///     offloaded to it; or nullptr.
const Upstream* Sidecar::HintedUpstream(const FrameHeader& header) {
  if (header.Has(link::kFlagOffloaded)) return nullptr;
  const auto* upstream = service_->Find(header.least_loaded.upstream);
  if (upstream == nullptr || !CanOffloadTo(header, *upstream)) return nullptr;
  return upstream;
}

/// @return whether the request should run on a much faster upstream that a hint
///     names, although this one has a free slot.
bool Sidecar::PrefersHint(const FrameHeader& header) {
  if (service_->service.prefer != ticket::Preference::kBalance) return false;
  const auto* hinted = HintedUpstream(header);
  return hinted != nullptr && IsFaster(hinted->id, options_.id);
}

}  // namespace cowslip::engine
