#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/cost.h"

namespace cowslip::segment {

/// Start of a request at an upstream.
struct RequestStart {
  std::uint64_t number = 0;   ///< Counts the requests of one estimator.
  Endpoint service;           ///< Address that the request was sent to.
  std::uint32_t on_flow = 1;  ///< Number of the request on its flow.
  TimePoint arrival{};
  /// Time until the answer that was expected at the arrival.
  std::chrono::microseconds expected{};
  /// Number of the departure that frees its slot, 0 if a slot was free.
  std::uint64_t waits_for_departure = 0;
};

/// Estimates the load of an upstream from the packets that pass its sidecar:
/// the work that is left of the requests in progress, by cost::CostModel.
///
/// Load pattern: full upstreams beside upstreams with free slots, and upstreams
/// that are busy with a request of several times the mean cost, which count as
/// long as they run. The load is evaluated in the sidecar, where it is known
/// without delay, not from periodic reports.
class LoadEstimator {
 public:
  /// Share of one response in the average that compares estimates with
  /// measured times.
  static constexpr double kErrorShare = 0.02;
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
  /// @param on_flow number of the request on its flow, from 1.
  RequestStart OnStarted(TimePoint now, const Endpoint& service = {},
                         std::uint32_t on_flow = 1);
  /// The flow of a request, its latest one, has ended.
  void OnFlowEnded(const RequestStart& request, TimePoint now);
  /// A request was answered. Its service time counts from the time at which it
  /// got a slot, so that an upstream that became slow is noticed also while
  /// every request has to queue.
  void OnResponse(const RequestStart& request, TimePoint now);
  /// @return how long a request in progress has had a slot; std::nullopt if
  /// that is not known, as it began before a suspension or its slot's departure
  /// is forgotten.
  std::optional<Duration> TimeInSlot(const RequestStart& request,
                                     TimePoint now) const;
  /// A request ended without a response.
  void OnRequestAborted(const RequestStart& request, TimePoint now);
  /// Some request ended without a response; the latest one counts as ended.
  void OnRequestAborted(TimePoint now);
  /// Discards the load of an upstream that was replaced.
  void Reset(TimePoint now);
  /// The process was suspended: the times of the requests in progress say
  /// nothing about the upstream.
  void OnResume(TimePoint now) { resumed_at_ = now; }
  /// @param warming_up whether the upstream is still warming up and so slower.
  void SetWarmup(bool warming_up) { warming_up_ = warming_up; }

  /// Requests beyond its slots that an upstream is given. It queues a few and
  /// refuses the rest.
  static constexpr std::uint32_t kMaxQueue = 4;

  /// @return whether a request that arrived now would get a slot.
  bool HasFreeSlot() const {
    return in_progress() + expected_requests_ < slots_;
  }
  /// @return whether a request that arrived now would be queued, not refused.
  bool CanQueue() const {
    return in_progress() + expected_requests_ < slots_ + kMaxQueue;
  }
  std::uint32_t free_slots() const {
    const auto used = in_progress() + expected_requests_;
    return used < slots_ ? slots_ - used : 0;
  }
  std::uint32_t in_progress() const {
    return static_cast<std::uint32_t>(requests_.size());
  }
  /// @return the order in which upstreams are preferred: the expected time from
  /// the arrival of a new request to its answer if the outstanding work were
  /// spread evenly over the slots.
  /// @param service address that the request is sent to; the mean of all if it
  /// is not known.
  std::chrono::microseconds ExpectedWait(TimePoint now,
                                         const Endpoint& service = {}) const;
  /// @return expected time from the arrival of a new request to its answer, as
  /// slots become free one by one.
  std::chrono::microseconds AnswerTime(TimePoint now,
                                       const Endpoint& service = {}) const;
  /// @return the same as of the last event.
  std::chrono::microseconds AnswerTime() const {
    return AnswerTime(last_update_);
  }
  /// @return the mean time that a request takes a slot.
  std::chrono::microseconds MeanServiceTime() const;
  /// @return for a service address whose flows usually carry many requests, the
  /// order in which upstreams are preferred for one more flow: the mean service
  /// time over the slots that the open flows leave, so that the upstream with
  /// the most requests per second left over comes first. std::nullopt for other
  /// addresses.
  std::optional<std::chrono::microseconds> WaitOfLongFlow(
      TimePoint now, const Endpoint& service);
  /// @return the expected remaining service times of the requests in progress,
  /// and the means of those that wait or are expected.
  std::chrono::microseconds OutstandingWork(TimePoint now) const;
  /// @return expected over measured times until the answer, a moving average; 1
  /// before the first response.
  double ErrorRatio() const;
  const cost::CostModel& model() const { return model_; }

 private:
  void Update(TimePoint now);
  void RecordError(const RequestStart& request, TimePoint now);
  /// Removes a request. @return whether it was in progress.
  bool Remove(const RequestStart& request, TimePoint now);
  /// @return the factor by which an upstream that warms up is assumed to be
  /// slower than the service times so far.
  double WarmupFactor() const;
  /// @return when a request got its slot, std::nullopt if that is not known.
  std::optional<TimePoint> ServiceStart(const RequestStart& request) const;
  /// @return the expected work in seconds that is left of a request.
  double RemainingSeconds(const RequestStart& request, TimePoint now) const;
  /// @return the expected service time in seconds of a request that starts now.
  double ServiceSeconds(const Endpoint& service) const;
  double OutstandingSeconds(TimePoint now) const;
  /// @return seconds until a slot is free for a new request.
  double SecondsUntilSlot(TimePoint now) const;

  std::uint32_t slots_ = 1;
  cost::CostModel model_;
  cost::FlowLoadModel flow_loads_;
  /// Number of the last request before the upstream was replaced.
  std::uint64_t last_before_reset_ = 0;
  /// Requests in progress, in the order of arrival.
  std::vector<RequestStart> requests_;
  std::uint64_t started_requests_ = 0;
  /// Departures so far, and the times of the latest ones by number.
  std::uint64_t departures_ = 0;
  std::array<TimePoint, kDepartureHistory> departure_times_{};
  std::uint32_t expected_requests_ = 0;
  bool warming_up_ = false;
  TimePoint resumed_at_{};
  int responses_ = 0;  ///< Since the upstream started, up to a few.
  /// Moving averages in seconds.
  double expected_time_ = 0;
  double measured_time_ = 0;
  TimePoint last_update_{};
  /// When each slot becomes free; kept to reuse its memory.
  mutable std::vector<double> slots_free_;
};

}  // namespace cowslip::segment
