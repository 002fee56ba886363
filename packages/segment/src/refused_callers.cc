#include "cowslip/segment/refused_callers.h"

#include <algorithm>

namespace cowslip::segment {

void RefusedCallers::Add(const FlowKey& flow, TimePoint now) {
  const auto key = KeyOf(flow);
  if (refused_.size() >= kCapacity && !refused_.contains(key)) MakeRoom(now);
  refused_[key] = now;
}

void RefusedCallers::MakeRoom(TimePoint now) {
  std::erase_if(refused_, [&](const auto& entry) {
    return now - entry.second >= kLifetime;
  });
  if (refused_.size() < kCapacity) return;
  const auto oldest = std::min_element(
      refused_.begin(), refused_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  // Removes the older half of the lifetime at once, so that the next additions
  // find room without a search.
  const auto limit = oldest->second + kLifetime / 2;
  std::erase_if(refused_,
                [&](const auto& entry) { return entry.second <= limit; });
}

bool RefusedCallers::WasRefused(const FlowKey& flow, Duration within,
                                TimePoint now) const {
  const auto found = refused_.find(KeyOf(flow));
  return found != refused_.end() && now - found->second < within;
}

}  // namespace cowslip::segment
