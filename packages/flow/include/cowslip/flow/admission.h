#pragma once

#include <cstdint>
#include <deque>

#include "cowslip/base.h"

namespace cowslip::flow {

/// The load that a sidecar allows for its upstream.
struct AdmissionLimits {
  std::uint32_t slots = 1;      ///< Requests that are processed in parallel.
  std::uint32_t max_queue = 0;  ///< Requests queued when all slots are in use.
  Duration slow_start{};  ///< Time after a start until all slots are usable.
  /// Requests queued before further ones are offloaded to other upstreams.
  std::uint32_t offload_after = 0;
};

/// What to do with a new request.
enum class AdmissionDecision : std::uint8_t {
  kAdmit,    ///< There is a free slot, or the queue is short enough.
  kOffload,  ///< All slots are in use: try an upstream with less load.
  kShed,     ///< All slots are in use and the queue is full: refuse it.
};

/// The start of a request at an upstream, for measuring its service time.
struct RequestTiming {
  TimePoint started{};
  bool queued = false;  ///< All slots were in use.
};

/// Admission control of one upstream. Decides on new requests by the requests
/// in progress, by the slots that are reserved for announced requests, and by
/// the requests that the upstream refused.
class AdmissionController {
 public:
  /// Time after which an unused reservation expires.
  static constexpr std::chrono::milliseconds kReservationTime{200};

  AdmissionController(const AdmissionLimits& limits, TimePoint started)
      : limits_(limits), started_(started), slot_limit_(limits.slots) {}

  void SetQueue(std::uint32_t max_queue, std::uint32_t offload_after) {
    limits_.max_queue = max_queue;
    limits_.offload_after = offload_after;
  }

  /// @return the decision on a new request.
  AdmissionDecision Decide(TimePoint now);
  /// Reserves a slot for a caller that was challenged to repeat its request.
  void OnReserved(TimePoint now);
  /// Ends the reservation of a caller that has repeated its request.
  /// @param reserved_at when the slot was reserved, to the microsecond.
  void OnReservationUsed(TimePoint reserved_at);
  /// A request was sent to the upstream.
  RequestTiming OnStarted(TimePoint now);
  /// The upstream answered a request.
  void OnFinished(const RequestTiming& timing, TimePoint now);
  /// A request ended in a way that gives no sample of the service time.
  void OnAbandoned(TimePoint now);
  /// The upstream refused a request: fewer slots are used from now on.
  void OnRefused();

  std::uint32_t in_progress() const { return in_progress_; }
  /// @return the number of requests in progress and of reservations.
  std::uint32_t load(TimePoint now);
  /// @return the number of slots to use now; lower during the slow start and
  ///     after a refusal.
  std::uint32_t usable_slots(TimePoint now) const;
  /// @return the estimated mean time that a request occupies a slot.
  Duration service_time() const { return service_time_; }
  /// @param claims further requests that are expected before this one. They
  ///     count only if all slots are in use.
  /// @return the estimated time until a further request would get a slot.
  Duration ExpectedWait(TimePoint now, std::uint32_t claims = 0);

 private:
  void AddSample(Duration sample);

  AdmissionLimits limits_;
  TimePoint started_;
  double slot_limit_;  ///< Slots to use; lowered by refusals, then rises again.
  std::uint32_t in_progress_ = 0;
  std::deque<TimePoint> reserved_;  ///< Expiry of each reservation, in order.
  Duration service_time_{};         ///< Running mean; zero if unknown.
  TimePoint busy_since_{};  ///< Latest start or end with all slots in use.
};

}  // namespace cowslip::flow
