#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/relay/peer.h"
#include "cowslip/relay/peer_ranking.h"
#include "cowslip/relay/store_entry.h"

namespace cowslip::relay {

/// How one process takes part in the relay.
struct NodeOptions {
  Peer self;
  /// Whether nobody follows this process; it then writes no instance record.
  bool leaf = false;
  Subscription interest;
  std::vector<Endpoint> seeds;  ///< Control endpoints from the settings.
  TreeShape shape;
  std::size_t parents = 2;  ///< Streams towards others that are kept open.
  std::chrono::milliseconds heartbeat_interval{2000};
  /// A stream that is silent for longer is given up.
  std::chrono::milliseconds stream_timeout{5000};
  /// Time without any stream after which the store is asked instead.
  std::chrono::milliseconds store_fallback_delay{1500};
  /// Time for a stream to bring a ticket that a data frame told of.
  std::chrono::milliseconds ticket_timeout{200};
  /// Time between two moves towards the place in the tree.
  std::chrono::milliseconds reparent_interval{2000};
  std::chrono::milliseconds min_retry{100};
  std::chrono::milliseconds max_retry{5000};
  std::uint64_t seed = 1;  ///< Spreads retries.
};

}  // namespace cowslip::relay
