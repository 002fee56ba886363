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

void LoadEstimator::OnStarted(TimePoint now) {
  UpdateUtilisation(now);
  ++in_progress_;
}

void LoadEstimator::OnResponse(Duration elapsed, bool queued, TimePoint now) {
  OnRequestAborted(now);
  if (queued) return;
  const double sample = std::chrono::duration<double>(elapsed).count();
  mean_service_time_s_ += kSampleShare * (sample - mean_service_time_s_);
}

void LoadEstimator::OnRequestAborted(TimePoint now) {
  UpdateUtilisation(now);
  if (in_progress_ > 0) --in_progress_;
}

void LoadEstimator::Reset(TimePoint now) {
  UpdateUtilisation(now);
  in_progress_ = 0;
  expected_requests_ = 0;
  utilisation_ = 0;
}

std::chrono::microseconds LoadEstimator::ExpectedWait(TimePoint now) {
  UpdateUtilisation(now);
  const double queue_length = std::max(
      0.0, static_cast<double>(in_progress_ + expected_requests_ + 1) - slots_);
  const double service_time =
      mean_service_time_s_ * (warming_up_ ? kWarmupFactor : 1.0);
  const double wait = service_time * (1 + queue_length / slots_);
  const double idle_share = 1 - std::min(utilisation_, kMaxUtilisation);
  return std::chrono::microseconds(std::llround(wait / idle_share * 1e6));
}

}  // namespace cowslip::segment
