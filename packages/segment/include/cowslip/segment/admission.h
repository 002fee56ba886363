#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cowslip/scheduling.h"

namespace cowslip::segment {

/// State of an upstream when a SYN reaches its sidecar.
struct AdmissionState {
  bool has_free_slot = false;
  /// The upstream would queue the request rather than refuse it.
  bool can_queue = false;
  /// Expected time from the arrival of the request to its answer.
  std::chrono::microseconds answer_time{};
};

/// What a sidecar does with a SYN.
enum class Admission : std::uint8_t {
  kAccept,     ///< Gives it to its upstream.
  kCandidate,  ///< Takes it if no other sidecar accepts it or answers sooner.
  kTooLate,    ///< Does not take it.
};

/// Decides by the wait that a new request would have, not by the length of the
/// queue.
///
/// Load pattern: more requests than an upstream's slots can serve within the
/// latency target, because callers come in a crowd or upstreams became slow.
/// If all are queued, all are late; if those that would be late are refused at
/// once, the rest are answered in time.
///
/// @param time_left until the latency target, std::nullopt if there is none.
Admission DecideAdmission(const AdmissionState& state,
                          std::optional<std::chrono::milliseconds> time_left);

/// Decides by what the order of scheduling::RequestOrder makes of a new request
/// and of those that wait already.
///
/// Load pattern: more requests than an upstream's slots can serve, of different
/// urgency. A request that is late but answered before its time limit is better
/// than none, if no other becomes late for it.
///
/// @param has_free_slot of the upstream, which nobody waits for.
Admission DecideScheduledAdmission(const scheduling::AnswerForecast& forecast,
                                   bool has_free_slot);

}  // namespace cowslip::segment
