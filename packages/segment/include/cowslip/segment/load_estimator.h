#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Start of a request at an upstream.
struct RequestStart {
  TimePoint arrival{};
  /// Number of the departure that frees its slot, 0 if a slot was free.
  std::uint64_t waits_for_departure = 0;
};

/// Estimates the load of an upstream from the packets that pass its sidecar.
///
/// Prevents full upstreams beside upstreams with free slots: the load is
/// evaluated in the sidecar, where it is known without delay, not from periodic
/// reports.
class LoadEstimator {
 public:
  /// Weight of one sample in the moving average of service times.
  static constexpr double kSampleShare = 0.1;
  /// Time constant of the average utilisation: long enough to smooth single
  /// requests, short enough to follow a change of load within a second.
  static constexpr std::chrono::milliseconds kUtilisationTime{1000};
  /// Service time assumed before the first request has completed.
  static constexpr std::chrono::milliseconds kInitialServiceTime{20};
  /// Departures that are remembered: more than an upstream has slots.
  static constexpr std::size_t kDepartureHistory = 64;
  /// Responses of an upstream after which its service times count as measured.
  static constexpr int kMeasuredResponses = 3;

  void SetSlots(std::uint32_t slots) { slots_ = slots == 0 ? 1 : slots; }
  /// A SYN was sent to the upstream, so a first request is expected.
  void OnRequestExpected() { ++expected_requests_; }
  /// An expected first request arrived or did not come in time.
  void OnExpectedRequestEnded() {
    if (expected_requests_ > 0) --expected_requests_;
  }
  /// A request was sent to the upstream.
  RequestStart OnStarted(TimePoint now);
  /// A request was answered. Its service time counts from the time at which it
  /// got a slot, so that an upstream that became slow is noticed also while
  /// every request has to queue.
  void OnResponse(const RequestStart& request, TimePoint now);
  /// A request ended without a response.
  void OnRequestAborted(TimePoint now);
  /// Discards the load of an upstream that was replaced.
  void Reset(TimePoint now);
  /// @param warming_up whether the upstream is still warming up and so slower.
  void SetWarmup(bool warming_up) { warming_up_ = warming_up; }

  /// Requests beyond its slots that an upstream is given. It queues a few and
  /// refuses the rest.
  static constexpr std::uint32_t kMaxQueue = 4;

  /// @return whether a request that arrived now would get a slot.
  bool HasFreeSlot() const {
    return in_progress_ + expected_requests_ < slots_;
  }
  /// @return whether a request that arrived now would be queued, not refused.
  bool CanQueue() const {
    return in_progress_ + expected_requests_ < slots_ + kMaxQueue;
  }
  std::uint32_t free_slots() const {
    const auto used = in_progress_ + expected_requests_;
    return used < slots_ ? slots_ - used : 0;
  }
  std::uint32_t in_progress() const { return in_progress_; }
  /// @return the order in which upstreams are preferred: the answer time of a
  /// new request, longer the busier the upstream has been.
  std::chrono::microseconds ExpectedWait(TimePoint now);
  /// @return expected time from the arrival of a new request to its answer.
  std::chrono::microseconds AnswerTime() const;

 private:
  void UpdateUtilisation(TimePoint now);
  /// @return when a request got its slot, std::nullopt if that is not known.
  std::optional<TimePoint> ServiceStart(const RequestStart& request) const;
  double ServiceTimeSeconds() const;
  /// @return requests that a new one would be queued with, itself included.
  std::uint32_t QueueLength() const;

  std::uint32_t slots_ = 1;
  std::uint32_t in_progress_ = 0;
  /// Departures so far, and the times of the latest ones by number.
  std::uint64_t departures_ = 0;
  std::array<TimePoint, kDepartureHistory> departure_times_{};
  std::uint32_t expected_requests_ = 0;
  bool warming_up_ = false;
  int responses_ = 0;  ///< Since the upstream started, up to a few.
  double mean_service_time_s_ =
      std::chrono::duration<double>(kInitialServiceTime).count();
  double utilisation_ = 0;  ///< Moving average of the share of busy slots.
  TimePoint last_update_{};
};

}  // namespace cowslip::segment
