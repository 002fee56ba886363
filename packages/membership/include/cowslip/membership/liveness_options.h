#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Identity, intervals and time-outs of a LivenessMonitor.
struct LivenessOptions {
  UpstreamId id{};         ///< The upstream beside this sidecar.
  ServiceId service{};     ///< The service whose members are monitored.
  std::uint64_t seed = 1;  ///< Seeds the choice of witnesses and the jitter.
  std::size_t neighbours = 3;  ///< Number of ring successors to probe.
  /// Time without a frame after which a neighbour is probed; also the interval
  /// of probes once the time without a frame exceeds suspect_after.
  Duration probe_period{std::chrono::seconds(2)};
  /// Interval of probes to a neighbour that didn't answer the last probe, up to
  /// that time.
  Duration retry_period{std::chrono::milliseconds(500)};
  /// Time without a frame after which a failure confirmation starts. Longer
  /// than the lease plus a probe period, so that an upstream that resumes after
  /// a pause finds its lease expired before another process records its death.
  Duration suspect_after{std::chrono::seconds(8)};
  /// The same for an incarnation from which no frame has arrived yet.
  Duration first_contact_timeout{std::chrono::seconds(60)};
  /// Extra delay of a confirmation for each further step along the ring, so
  /// that the predecessors of an unresponsive upstream don't all start one at
  /// once.
  Duration stagger{std::chrono::milliseconds(1500)};
  /// Greatest age of a received frame that still proves its sender alive.
  Duration evidence_max_age{std::chrono::milliseconds(2500)};
  /// Time for which a witness probes the subject before it replies that the
  /// subject is unreachable.
  Duration witness_timeout{std::chrono::seconds(1)};
  /// Time for which a reporter waits for the replies of one stage.
  Duration reply_timeout{std::chrono::milliseconds(1500)};
  /// Delay until the next confirmation for the same upstream. Random jitter of
  /// up to the same length is added, and the sum doubles with every further
  /// inconclusive confirmation, up to four times.
  Duration confirmation_backoff{std::chrono::seconds(5)};
  /// A longer gap between two ticks means that this process was paused; times
  /// without a frame are then counted from the end of the gap.
  Duration max_tick_gap{std::chrono::seconds(1)};
};

}  // namespace cowslip::membership
