#pragma once

#include <chrono>
#include <cstdint>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Estimates the wait of a further connection from what passes the sidecar.
///
/// Answers the load pattern of full upstreams beside upstreams with room: the
/// load is judged where it is known, not by reports that lag.
class LoadEstimator {
 public:
  /// Share of a sample in the moving mean of service times.
  static constexpr double kSampleShare = 0.1;
  /// Time constant of the utilisation: long enough to see through single
  /// requests, short enough to see a change of load within a second.
  static constexpr std::chrono::milliseconds kUtilisationTime{1000};
  /// Service time that is assumed until a request has been seen.
  static constexpr std::chrono::milliseconds kInitialServiceTime{20};

  void SetSlots(std::uint32_t slots) { slots_ = slots == 0 ? 1 : slots; }
  /// A connection was given to the upstream; its first request follows.
  void OnRequestExpected() { ++expected_; }
  void OnExpectedRequestEnded() {
    if (expected_ > 0) --expected_;
  }
  void OnStarted(TimePoint now);
  /// @param elapsed since the request was passed to the upstream.
  /// @param queued whether all slots were taken when it started.
  void OnResponse(Duration elapsed, bool queued, TimePoint now);
  /// A request ended without an answer.
  void OnRequestAborted(TimePoint now);
  /// The upstream was replaced: what was learnt of it is void.
  void Reset(TimePoint now);
  void SetWarmup(bool warming) { warming_ = warming; }

  /// Requests beyond the slots that an upstream is given; it queues a few and
  /// refuses what comes on top.
  static constexpr std::uint32_t kMaxQueue = 4;

  /// @return whether a request that arrived now would get a slot.
  bool HasFreeSlot() const { return in_progress_ + expected_ < slots_; }
  /// @return whether it would be queued rather than refused.
  bool CanQueue() const {
    return in_progress_ + expected_ < slots_ + kMaxQueue;
  }
  std::uint32_t free_slots() const {
    const auto used = in_progress_ + expected_;
    return used < slots_ ? slots_ - used : 0;
  }
  bool all_slots_taken() const { return in_progress_ >= slots_; }
  std::uint32_t in_progress() const { return in_progress_; }
  /// @return expected time from the arrival of a request to its answer.
  std::chrono::microseconds ExpectedWait(TimePoint now);

 private:
  void Advance(TimePoint now);

  std::uint32_t slots_ = 1;
  std::uint32_t in_progress_ = 0;
  std::uint32_t expected_ = 0;
  bool warming_ = false;
  double service_s_ =
      std::chrono::duration<double>(kInitialServiceTime).count();
  double utilisation_ = 0;  ///< Moving mean of the share of busy slots.
  TimePoint updated_{};
};

}  // namespace cowslip::segment
