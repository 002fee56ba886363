#include "cowslip/engine/free_slot_table.h"

#include <algorithm>

#include "cowslip/engine/service_time_table.h"

namespace cowslip::engine {

FreeSlotTable::Report* FreeSlotTable::FindFree(UpstreamId upstream,
                                               TimePoint now) {
  const auto found = reports_.find(upstream);
  if (found == reports_.end()) return nullptr;
  auto& report = found->second;
  const bool usable = report.free_slots > 0 && report.service_time != 0 &&
                      now - report.at <= kMaxAge;
  return usable ? &report : nullptr;
}

void FreeSlotTable::Update(ServiceId service, UpstreamId upstream,
                           std::uint32_t free_slots, std::uint32_t service_time,
                           TimePoint now) {
  auto& report = reports_[upstream];
  report = {free_slots, service_time == 0 ? report.service_time : service_time,
            now};
  if (free_slots == 0) return;
  auto& candidates = candidates_[service];
  if (std::find(candidates.begin(), candidates.end(), upstream) !=
      candidates.end()) {
    return;
  }
  if (candidates.size() < kMaxCandidates) {
    candidates.push_back(upstream);
    return;
  }
  // Replaces one that has no free slot, or else a slower one.
  const auto replaced =
      std::find_if(candidates.begin(), candidates.end(), [&](UpstreamId id) {
        const auto* other = FindFree(id, now);
        return other == nullptr ||
               IsMuchFaster(report.service_time, other->service_time);
      });
  if (replaced != candidates.end()) *replaced = upstream;
}

UpstreamId FreeSlotTable::Take(ServiceId service, UpstreamId owner,
                               TimePoint now) {
  const auto candidates = candidates_.find(service);
  const auto of_owner = reports_.find(owner);
  if (candidates == candidates_.end() || of_owner == reports_.end()) return {};
  const auto& owner_report = of_owner->second;
  const bool owner_is_full =
      owner_report.free_slots == 0 && now - owner_report.at <= kMaxAge;
  UpstreamId best{};
  Report* best_report = nullptr;
  for (const auto id : candidates->second) {
    auto* report = FindFree(id, now);
    const bool eligible =
        report != nullptr && id != owner &&
        (owner_is_full ||
         IsMuchFaster(report->service_time, owner_report.service_time));
    if (!eligible) continue;
    const bool better =
        best_report == nullptr ||
        IsMuchFaster(report->service_time, best_report->service_time) ||
        (!IsMuchFaster(best_report->service_time, report->service_time) &&
         report->free_slots > best_report->free_slots);
    if (!better) continue;
    best = id;
    best_report = report;
  }
  if (best_report != nullptr) --best_report->free_slots;
  return best;
}

}  // namespace cowslip::engine
