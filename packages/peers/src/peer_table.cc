#include "cowslip/peers/peer_table.h"

namespace cowslip::peers {

MergeResult PeerTable::Merge(const PeerEntry& entry) {
  const auto [found, added] = entries_.try_emplace(entry.address, entry);
  auto& known = found->second;
  if (added) {
    ToggleDigest(known);
    return MergeResult::kStarted;
  }
  if (!entry.NewerThan(known)) return MergeResult::kUnchanged;
  const bool started = entry.incarnation != known.incarnation;
  ToggleDigest(known);
  known = entry;
  ToggleDigest(known);
  return started ? MergeResult::kStarted : MergeResult::kUpdated;
}

const PeerEntry* PeerTable::Find(InstanceAddress address) const {
  const auto found = entries_.find(address);
  return found == entries_.end() ? nullptr : &found->second;
}

std::vector<InstanceAddress> PeerTable::Balancers() const {
  std::vector<InstanceAddress> balancers;
  for (const auto& [address, entry] : entries_) {
    if (entry.balancer && !entry.left) balancers.push_back(address);
  }
  return balancers;
}

void PeerTable::Remove(InstanceAddress address) {
  const auto found = entries_.find(address);
  if (found == entries_.end()) return;
  ToggleDigest(found->second);
  entries_.erase(found);
}

void PeerTable::ToggleDigest(const PeerEntry& entry) {
  digest_.Toggle(entry);
  if (entry.balancer) balancer_digest_.Toggle(entry);
}

}  // namespace cowslip::peers
