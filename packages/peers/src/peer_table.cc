#include "cowslip/peers/peer_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace cowslip::peers {

MergeResult PeerTable::Merge(const PeerEntry& entry) {
  const auto [found, added] = entries_.try_emplace(entry.address, entry);
  if (added) return MergeResult::kStarted;
  auto& known = found->second;
  if (!entry.NewerThan(known)) return MergeResult::kUnchanged;
  const bool started = entry.incarnation != known.incarnation;
  known = entry;
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

std::uint64_t PeerTable::Digest(bool balancers_only) const {
  std::uint64_t digest = 0;
  for (const auto& [address, entry] : entries_) {
    if (balancers_only && !entry.balancer) continue;
    const std::array<std::uint64_t, 3> words{address, entry.incarnation,
                                             entry.sequence};
    digest ^= XXH3_64bits(words.data(), sizeof words);
  }
  return digest;
}

}  // namespace cowslip::peers
