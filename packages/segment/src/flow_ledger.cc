#include "cowslip/segment/flow_ledger.h"

#include <algorithm>

namespace cowslip::segment {

Duration FlowLedger::LifetimeOf(const FlowEntry& entry) {
  switch (entry.state) {
    case FlowState::kOpening:
      return kOpeningTime;
    case FlowState::kOpen:
      return kIdleTime;
    case FlowState::kEnded:
      return kEndedTime;
    case FlowState::kElsewhere:
      return kElsewhereTime;
  }
  return kIdleTime;
}

FlowEntry* FlowLedger::Find(const FlowKey& flow) {
  const auto found = flows_.find(flow);
  return found == flows_.end() ? nullptr : &found->second;
}

FlowEntry& FlowLedger::Start(const FlowKey& flow, FlowState state,
                             TimePoint now) {
  if (flows_.size() >= kCapacity && Find(flow) == nullptr) EvictOldest();
  auto& entry = flows_[flow];
  entry = FlowEntry{};
  entry.state = state;
  entry.active = now;
  return entry;
}

/// An open flow is worth more than one that has ended or is elsewhere.
void FlowLedger::EvictOldest() {
  const auto oldest = std::min_element(
      flows_.begin(), flows_.end(), [](const auto& a, const auto& b) {
        const bool a_open = a.second.state == FlowState::kOpen;
        const bool b_open = b.second.state == FlowState::kOpen;
        if (a_open != b_open) return b_open;
        return a.second.active < b.second.active;
      });
  if (oldest == flows_.end()) return;
  flows_.erase(oldest);
  ++evicted_;
}

}  // namespace cowslip::segment
