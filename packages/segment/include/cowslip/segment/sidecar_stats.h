#pragma once

#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/scheduling.h"

namespace cowslip::segment {

/// Counters of a sidecar since the start of its process.
struct SidecarStats {
  std::uint64_t frames = 0;    ///< Frames from balancers and other sidecars.
  std::uint64_t openings = 0;  ///< Frames that carry a SYN.
  std::uint64_t taken = 0;     ///< SYNs accepted for the upstream.
  std::uint64_t passed = 0;    ///< Frames forwarded to the next sidecar.
  std::uint64_t unheld = 0;    ///< Frames at the end of the list, not accepted.
  std::uint64_t unanswered = 0;  ///< SYNs that the upstream did not answer.
  std::uint64_t bounced = 0;     ///< Packets that the upstream returned.
  std::uint64_t asked = 0;   ///< Packets of unknown flows sent to the upstream.
  std::uint64_t resets = 0;  ///< Resets sent to callers of lost flows.
  std::uint64_t to_callers = 0;  ///< Packets sent from the upstream to callers.
  /// SYNs dropped because they had waited through a suspension.
  std::uint64_t outdated = 0;
  std::uint64_t owner_queries = 0;      ///< Owner queries answered.
  std::uint64_t owner_query_flows = 0;  ///< Flows in these.
  std::uint64_t stale_balancer = 0;  ///< SYNs with an outdated configuration.
  /// SYNs refused because the data centre is evacuated.
  std::uint64_t evacuated = 0;
  /// From sending a request to the upstream until the first data of its
  /// response.
  LatencyHistogram request_time;
  /// Requests that ended while they waited for a slot.
  std::uint64_t requests_dropped = 0;
  /// Requests that waited for the limit of the upstream while it warmed up.
  std::uint64_t warm_up_limited = 0;
  /// Times that a slot was found idle while a request waited beside it.
  std::uint64_t idle_slots_while_waiting = 0;
  /// From the first packet of a request until the upstream was given it.
  scheduling::PriorityCounts<LatencyHistogram> waited;
};

}  // namespace cowslip::segment
