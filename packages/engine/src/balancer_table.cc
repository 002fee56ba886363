#include "cowslip/engine/balancer_table.h"

#include <algorithm>
#include <tuple>

namespace cowslip::engine {

BalancerTable::Entry* BalancerTable::Find(const Endpoint& balancer) {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(),
                   [&](const auto& e) { return e.balancer == balancer; });
  return found == entries_.end() ? nullptr : &*found;
}

BalancerTable::Entry& BalancerTable::Add(const Endpoint& balancer,
                                         TimePoint now) {
  if (entries_.size() < kCapacity) {
    return entries_.emplace_back(Entry{.balancer = balancer, .last_seen = now});
  }
  auto& oldest = *std::min_element(
      entries_.begin(), entries_.end(),
      [](const auto& a, const auto& b) { return a.last_seen < b.last_seen; });
  oldest = Entry{.balancer = balancer, .last_seen = now};
  return oldest;
}

void BalancerTable::OnFrameFrom(const Endpoint& balancer, TimePoint now) {
  auto* entry = Find(balancer);
  if (entry == nullptr) entry = &Add(balancer, now);
  entry->last_seen = now;
  entry->unacknowledged = 0;
}

void BalancerTable::AddReported(const Endpoint& balancer, TimePoint now) {
  if (balancer == Endpoint{} || Find(balancer) != nullptr) return;
  Add(balancer, now);
}

void BalancerTable::OnLeaving(const Endpoint& balancer, TimePoint now) {
  if (auto* entry = Find(balancer)) entry->leaving_until = now + kLeavingTime;
}

void BalancerTable::OnAckTimeout(const Endpoint& balancer) {
  if (auto* entry = Find(balancer)) ++entry->unacknowledged;
}

Endpoint BalancerTable::Choose(const Endpoint& preferred, TimePoint now) const {
  const Entry* best = nullptr;
  const auto rank = [&](const Entry& entry) {
    return std::tuple(entry.leaving_until <= now, -entry.unacknowledged,
                      entry.balancer == preferred, entry.last_seen);
  };
  for (const auto& entry : entries_) {
    if (best == nullptr || rank(entry) > rank(*best)) best = &entry;
  }
  return best == nullptr ? preferred : best->balancer;
}

bool BalancerTable::ShouldRequestAck(const Endpoint& balancer, TimePoint now) {
  auto* entry = Find(balancer);
  if (entry == nullptr || now - entry->last_seen < kAckRequestAge) return false;
  if (now - entry->last_ack_request < kAckRequestAge) return false;
  entry->last_ack_request = now;
  return true;
}

}  // namespace cowslip::engine
