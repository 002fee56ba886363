#include "cowslip/segment/flow_state_table.h"

#include <algorithm>

namespace cowslip::segment {

Duration FlowStateTable::LifetimeOf(const FlowEntry& entry) {
  switch (entry.state) {
    case FlowState::kSynSent:
      return kSynSentLifetime;
    case FlowState::kEstablished:
      return kIdleLifetime;
    case FlowState::kClosed:
      return kClosedLifetime;
    case FlowState::kNotOwned:
      return kNotOwnedLifetime;
  }
  return kIdleLifetime;
}

FlowEntry* FlowStateTable::Find(const FlowKey& flow) {
  const auto found = flows_.find(flow);
  return found == flows_.end() ? nullptr : &found->second;
}

FlowEntry& FlowStateTable::Start(const FlowKey& flow, FlowState state,
                                 TimePoint now) {
  if (flows_.size() >= kCapacity && Find(flow) == nullptr) EvictOne();
  auto& entry = flows_[flow];
  entry = FlowEntry{};
  entry.state = state;
  entry.last_activity = now;
  return entry;
}

/// Removes the least recently used entry, established flows last.
void FlowStateTable::EvictOne() {
  const auto victim = std::min_element(
      flows_.begin(), flows_.end(), [](const auto& a, const auto& b) {
        const bool a_established = a.second.state == FlowState::kEstablished;
        const bool b_established = b.second.state == FlowState::kEstablished;
        if (a_established != b_established) return b_established;
        return a.second.last_activity < b.second.last_activity;
      });
  if (victim == flows_.end()) return;
  const auto state = victim->second.state;
  if (state == FlowState::kEstablished || state == FlowState::kSynSent) {
    ++evicted_open_;
  }
  flows_.erase(victim);
  ++evicted_;
}

}  // namespace cowslip::segment
