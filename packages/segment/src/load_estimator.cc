#include "cowslip/segment/load_estimator.h"

#include <algorithm>
#include <cmath>

namespace cowslip::segment {
namespace {

/// Utilisation above which the queueing formula is cut off.
constexpr double kMaxUtilisation = 0.95;
/// Service times of a cold upstream against those of a warm one.
constexpr double kWarmupFactor = 1.6;

}  // namespace

void LoadEstimator::Advance(TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - updated_).count();
  updated_ = now;
  if (elapsed <= 0) return;
  const double busy = std::min(1.0, static_cast<double>(in_progress_) / slots_);
  const double keep = std::exp(
      -elapsed / std::chrono::duration<double>(kUtilisationTime).count());
  utilisation_ = utilisation_ * keep + busy * (1 - keep);
}

void LoadEstimator::OnStarted(TimePoint now) {
  Advance(now);
  ++in_progress_;
}

void LoadEstimator::OnResponse(Duration elapsed, bool queued, TimePoint now) {
  OnRequestAborted(now);
  if (queued) return;
  const double sample = std::chrono::duration<double>(elapsed).count();
  service_s_ += kSampleShare * (sample - service_s_);
}

void LoadEstimator::OnRequestAborted(TimePoint now) {
  Advance(now);
  if (in_progress_ > 0) --in_progress_;
}

void LoadEstimator::Reset(TimePoint now) {
  Advance(now);
  in_progress_ = 0;
  expected_ = 0;
  utilisation_ = 0;
}

std::chrono::microseconds LoadEstimator::ExpectedWait(TimePoint now) {
  Advance(now);
  const double waiting =
      std::max(0.0, static_cast<double>(in_progress_ + expected_ + 1) - slots_);
  const double service = service_s_ * (warming_ ? kWarmupFactor : 1.0);
  const double own = service * (1 + waiting / slots_);
  const double crowd = 1 - std::min(utilisation_, kMaxUtilisation);
  return std::chrono::microseconds(std::llround(own / crowd * 1e6));
}

}  // namespace cowslip::segment
