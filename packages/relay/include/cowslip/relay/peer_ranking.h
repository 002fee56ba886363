#pragma once

#include <string_view>
#include <vector>

#include "cowslip/relay/peer.h"

namespace cowslip::relay {

/// @return the order of a peer within its data centre, by XXH3 of its name;
///     the same on every process.
std::uint64_t RankScore(std::string_view instance);

/// Orders the peers of one data centre; the first ones watch the store.
class PeerRanking {
 public:
  /// @param self is counted whether or not it is among the peers.
  PeerRanking(const Peer& self, const std::vector<Peer>& peers);

  /// @return how many peers of its data centre stand before self.
  std::size_t rank() const { return position_; }
  const std::vector<Peer>& ordered() const { return ordered_; }

 private:
  std::vector<Peer> ordered_;
  std::size_t position_ = 0;
};

/// Shape of the tree that processes follow each other in.
struct TreeShape {
  std::size_t watchers = 3;  ///< Per data centre.
  std::size_t degree = 4;    ///< Followers that a peer is chosen by.
};

/// Lists whom a follower tries, best first: its place in the tree, then that
/// one's own parents, then the rest of its data centre and last the others by
/// rendezvous hashing of both names.
/// @param leaf whether self may be followed by nobody.
std::vector<Peer> ParentCandidates(const Peer& self, bool leaf,
                                   const std::vector<Peer>& peers,
                                   const TreeShape& shape);

}  // namespace cowslip::relay
