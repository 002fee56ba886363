#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/relay/item.h"
#include "cowslip/relay/peer.h"
#include "cowslip/relay/peer_ranking.h"

namespace cowslip::relay {

/// Identity, role, intervals and time-outs of a Node.
struct NodeOptions {
  Peer self;
  /// Whether no other process opens streams to this one; it then has no
  /// instance record in the store.
  bool leaf = false;
  Subscription interest;
  /// Control endpoints from the settings, for the first streams.
  std::vector<Endpoint> seeds;
  TreeShape shape;
  std::size_t parents = 2;  ///< Outgoing streams to keep open.
  /// Interval of heartbeats.
  std::chrono::milliseconds heartbeat_interval{2000};
  /// A stream on which nothing arrives for longer is closed.
  std::chrono::milliseconds stream_timeout{5000};
  /// Time without any stream after which this process watches the store itself;
  /// a random time of up to the same length is added. Also the unit of the
  /// other delays before a process falls back to the store.
  std::chrono::milliseconds store_fallback_delay{1500};
  /// Time in which a stream should bring a ticket whose number a data frame
  /// carried; after it, one more stream is opened.
  std::chrono::milliseconds ticket_timeout{200};
  /// Interval between two replacements of a parent by a preferred one.
  std::chrono::milliseconds reparent_interval{2000};
  /// Bounds of the delay before another stream is opened.
  std::chrono::milliseconds min_retry{100};
  std::chrono::milliseconds max_retry{5000};
  std::uint64_t seed = 1;  ///< Of the random delays.
};

}  // namespace cowslip::relay
