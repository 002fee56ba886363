#pragma once

#include <string_view>
#include <vector>

#include "cowslip/relay/peer.h"

namespace cowslip::relay {

/// @return the sort key of a peer within its data centre: XXH3 of the instance
///     name, so that every process computes the same order.
std::uint64_t RankScore(std::string_view instance);

/// The peers of one data centre in the order of their scores; the first ones
/// watch the store.
class PeerRanking {
 public:
  /// @param self ranked too, whether or not it is among the peers.
  PeerRanking(const Peer& self, const std::vector<Peer>& peers);

  /// @return the number of peers of the data centre that rank before self.
  std::size_t rank() const { return rank_; }
  /// @return the peers of the data centre, self included, first rank first.
  const std::vector<Peer>& ordered() const { return ordered_; }

 private:
  std::vector<Peer> ordered_;
  std::size_t rank_ = 0;
};

/// Shape of the distribution tree of a data centre: the watchers are the roots,
/// and every process receives tickets and entries from its parents.
struct TreeShape {
  std::size_t watchers = 3;  ///< Processes that watch the store.
  std::size_t degree = 4;    ///< Children of a process in the tree.
};

/// Lists the peers that a process opens streams to, best first: its parent in
/// the tree and that one's ancestors, then the rest of its data centre, and
/// last the other data centres. The last two groups are ordered by rendezvous
/// hashing of both names.
/// @param leaf whether self has no place in the tree, since no process opens
///     streams to it.
std::vector<Peer> ParentCandidates(const Peer& self, bool leaf,
                                   const std::vector<Peer>& peers,
                                   const TreeShape& shape);

}  // namespace cowslip::relay
