#include "cowslip/relay/peer_ranking.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <string>

namespace cowslip::relay {
namespace {

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t PairScore(const Peer& self, const Peer& other) {
  return Hash(self.instance + "\n" + other.instance);
}

void SortByPairScore(const Peer& self, std::vector<Peer>& peers) {
  std::sort(peers.begin(), peers.end(), [&](const auto& a, const auto& b) {
    return std::pair(PairScore(self, a), a.instance) <
           std::pair(PairScore(self, b), b.instance);
  });
}

void AddOnce(std::vector<Peer>& list, const Peer& peer) {
  const auto same = [&](const Peer& other) {
    return other.instance == peer.instance;
  };
  if (std::none_of(list.begin(), list.end(), same)) list.push_back(peer);
}

/// Adds the path from the position of self in the tree to a root.
void AddAncestors(std::vector<Peer>& list, const PeerRanking& ranking,
                  const TreeShape& shape) {
  auto rank = ranking.rank();
  while (rank >= shape.watchers) {
    rank = (rank - shape.watchers) / shape.degree;
    AddOnce(list, ranking.ordered()[rank]);
  }
}

}  // namespace

std::uint64_t RankScore(std::string_view instance) { return Hash(instance); }

PeerRanking::PeerRanking(const Peer& self, const std::vector<Peer>& peers) {
  for (const auto& peer : peers) {
    const bool local = peer.data_center == self.data_center;
    if (local && peer.instance != self.instance) ordered_.push_back(peer);
  }
  ordered_.push_back(self);
  std::sort(ordered_.begin(), ordered_.end(), [](const auto& a, const auto& b) {
    return std::pair(RankScore(a.instance), a.instance) <
           std::pair(RankScore(b.instance), b.instance);
  });
  const auto own = std::find_if(
      ordered_.begin(), ordered_.end(),
      [&](const Peer& peer) { return peer.instance == self.instance; });
  rank_ = static_cast<std::size_t>(own - ordered_.begin());
}

std::vector<Peer> ParentCandidates(const Peer& self, bool leaf,
                                   const std::vector<Peer>& peers,
                                   const TreeShape& shape) {
  std::vector<Peer> candidates;
  if (!leaf) AddAncestors(candidates, PeerRanking(self, peers), shape);
  std::vector<Peer> local;
  std::vector<Peer> remote;
  for (const auto& peer : peers) {
    if (peer.instance == self.instance) continue;
    (peer.data_center == self.data_center ? local : remote).push_back(peer);
  }
  SortByPairScore(self, local);
  SortByPairScore(self, remote);
  for (const auto& peer : local) AddOnce(candidates, peer);
  for (const auto& peer : remote) AddOnce(candidates, peer);
  return candidates;
}

}  // namespace cowslip::relay
