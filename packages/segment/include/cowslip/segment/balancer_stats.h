#pragma once

#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/scheduling.h"
#include "cowslip/segment/placement_counts.h"
#include "cowslip/segment/refusal_counts.h"

namespace cowslip::segment {

/// Counters of a balancer since the start of its process.
struct BalancerStats {
  std::uint64_t packets = 0;   ///< Packets from callers.
  std::uint64_t openings = 0;  ///< SYNs from callers.
  std::uint64_t no_route = 0;  ///< Packets to an address without a route.
  /// Packets before any configuration.
  std::uint64_t no_configuration = 0;
  std::uint64_t no_member = 0;  ///< Packets to a service without members.
  std::uint64_t resent = 0;     ///< Packets sent again, not accepted so far.
  /// Resends that had to wait because the retry budget was used up.
  std::uint64_t deferred = 0;
  /// Packets dropped because they had waited through a suspension.
  std::uint64_t outdated = 0;
  /// SYNs and lookups that timed out.
  std::uint64_t given_up = 0;
  std::uint64_t resets = 0;  ///< Resets sent to callers.
  /// Lookups that ended early because a member was unresponsive and the budget
  /// was used up.
  std::uint64_t shortened_lookups = 0;
  /// Lookups that found no owner while one may exist, so that the caller gets
  /// no answer until it sends again or an owner is known.
  std::uint64_t uncertain_lookups = 0;
  std::uint64_t owner_queries = 0;      ///< Owner queries sent, repeats too.
  std::uint64_t owner_replies = 0;      ///< Replies to these.
  std::uint64_t owner_query_flows = 0;  ///< Flows in the queries sent.
  /// SYNs refused because no upstream could answer in time.
  std::uint64_t overloaded = 0;
  /// SYNs refused because all visited data centres are evacuated.
  std::uint64_t evacuated = 0;
  /// Refused SYNs by the priority of their route.
  scheduling::PriorityCounts<RefusalCounts> refused;
  /// SYNs sent to one member with capacity instead of being refused.
  std::uint64_t forced = 0;
  std::uint64_t unheld = 0;  ///< Candidate lists without the owner of a flow.
  std::uint64_t unwatched = 0;  ///< Not tracked: too many pending packets.
  /// New connections offered first to a member that fails or is slow beside its
  /// peers, to see whether it has recovered.
  std::uint64_t outlier_trials = 0;
  /// SYNs that no other member has accepted, offered to such members.
  std::uint64_t offered_to_outliers = 0;
  PlacementCounts placements;  ///< SYNs accepted by a sidecar.
  /// From the arrival of a packet whose sidecar is not known until a sidecar
  /// has accepted it.
  LatencyHistogram placement_time;
};

}  // namespace cowslip::segment
