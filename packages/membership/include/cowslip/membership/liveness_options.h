#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Limits of a LivenessMonitor.
struct LivenessOptions {
  UpstreamId id{};
  ServiceId service{};
  std::uint64_t seed = 1;      ///< Of the generator that draws witnesses.
  std::size_t neighbours = 3;  ///< Successors in the ring that are probed.
  Duration probe_period{std::chrono::seconds(2)};
  /// Interval of probes to a neighbour that didn't answer the last one.
  Duration retry_period{std::chrono::milliseconds(500)};
  /// Silence before an inquiry; longer than the lease and a probe period, so
  /// that a paused upstream notices its pause before its death is recorded.
  Duration suspect_after{std::chrono::seconds(8)};
  /// The same for an incarnation that was never heard.
  Duration first_contact_timeout{std::chrono::seconds(60)};
  /// Delay of the second, third, ... predecessor of a silent upstream.
  Duration stagger{std::chrono::milliseconds(1500)};
  /// Evidence of life that is good enough to refute a death.
  Duration evidence_max_age{std::chrono::milliseconds(2500)};
  /// Time in which a witness tries to reach the subject.
  Duration witness_timeout{std::chrono::seconds(1)};
  /// Time that a reporter gives the witnesses of one stage.
  Duration reply_timeout{std::chrono::milliseconds(1500)};
  /// Pause after an inquiry that settled nothing; a random part is added.
  Duration confirmation_backoff{std::chrono::seconds(5)};
  /// A gap between two ticks after which no silence counts.
  Duration max_tick_gap{std::chrono::seconds(1)};
};

}  // namespace cowslip::membership
