#include "cowslip/segment/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace cowslip::segment {
namespace {

/// Cap on the utilisation in the queueing formula, which diverges at 1.
constexpr double kMaxUtilisation = 0.95;
/// Service time of an upstream that is warming up, relative to a warm one.
constexpr double kWarmupFactor = 1.6;

}  // namespace

void LoadEstimator::UpdateUtilisation(TimePoint now) {
  const double elapsed =
      std::chrono::duration<double>(now - last_update_).count();
  last_update_ = now;
  if (elapsed <= 0) return;
  const double busy_share =
      std::min(1.0, static_cast<double>(in_progress_) / slots_);
  const double decay = std::exp(
      -elapsed / std::chrono::duration<double>(kUtilisationTime).count());
  utilisation_ = utilisation_ * decay + busy_share * (1 - decay);
}

RequestStart LoadEstimator::OnStarted(TimePoint now) {
  UpdateUtilisation(now);
  RequestStart request{.arrival = now};
  if (in_progress_ >= slots_) {
    request.waits_for_departure = departures_ + in_progress_ - slots_ + 1;
  }
  ++in_progress_;
  return request;
}

std::optional<TimePoint> LoadEstimator::ServiceStart(
    const RequestStart& request) const {
  const auto number = request.waits_for_departure;
  if (number == 0) return request.arrival;
  const bool known =
      number <= departures_ && departures_ - number < kDepartureHistory;
  if (!known) return std::nullopt;
  return departure_times_[number % kDepartureHistory];
}

void LoadEstimator::OnResponse(const RequestStart& request, TimePoint now) {
  const auto start = ServiceStart(request);
  OnRequestAborted(now);
  if (!start) return;
  if (responses_ < kMeasuredResponses) ++responses_;
  const double sample = std::chrono::duration<double>(now - *start).count();
  mean_service_time_s_ += kSampleShare * (sample - mean_service_time_s_);
}

void LoadEstimator::OnRequestAborted(TimePoint now) {
  UpdateUtilisation(now);
  if (in_progress_ > 0) --in_progress_;
  ++departures_;
  departure_times_[departures_ % kDepartureHistory] = now;
}

void LoadEstimator::Reset(TimePoint now) {
  UpdateUtilisation(now);
  in_progress_ = 0;
  expected_requests_ = 0;
  utilisation_ = 0;
  responses_ = 0;
}

double LoadEstimator::ServiceTimeSeconds() const {
  // The mean of an upstream that has answered includes its being cold.
  const bool is_assumed = warming_up_ && responses_ < kMeasuredResponses;
  return mean_service_time_s_ * (is_assumed ? kWarmupFactor : 1.0);
}

std::uint32_t LoadEstimator::QueueLength() const {
  const auto requests = in_progress_ + expected_requests_ + 1;
  return requests > slots_ ? requests - slots_ : 0;
}

std::chrono::microseconds LoadEstimator::AnswerTime() const {
  // Slots may become free all at once, so the last requests of the queue wait
  // for whole rounds.
  const auto rounds = (QueueLength() + slots_ - 1) / slots_;
  return std::chrono::microseconds(
      std::llround(ServiceTimeSeconds() * (1 + rounds) * 1e6));
}

std::chrono::microseconds LoadEstimator::ExpectedWait(TimePoint now) {
  UpdateUtilisation(now);
  const double idle_share = 1 - std::min(utilisation_, kMaxUtilisation);
  const double queue_share = static_cast<double>(QueueLength()) / slots_;
  const double wait = ServiceTimeSeconds() * (1 + queue_share);
  return std::chrono::microseconds(std::llround(wait / idle_share * 1e6));
}

}  // namespace cowslip::segment
