#include "cowslip/segment/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace cowslip::segment {
namespace {

/// Utilisation above which the queueing formula is cut off.
constexpr double kMaxUtilisation = 0.95;
/// Service times of a cold upstream against those of a warm one.
constexpr double kWarmupFactor = 1.6;

}  // namespace

void LoadEstimate::Advance(TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - updated_).count();
  updated_ = now;
  if (elapsed <= 0) return;
  const double busy = std::min(1.0, static_cast<double>(in_progress_) / slots_);
  const double keep = std::exp(
      -elapsed / std::chrono::duration<double>(kUtilisationTime).count());
  utilisation_ = utilisation_ * keep + busy * (1 - keep);
}

void LoadEstimate::OnStarted(TimePoint now) {
  Advance(now);
  ++in_progress_;
}

void LoadEstimate::OnAnswered(Duration elapsed, bool queued, TimePoint now) {
  OnAbandoned(now);
  if (queued) return;
  const double sample = std::chrono::duration<double>(elapsed).count();
  service_s_ += kSampleShare * (sample - service_s_);
}

void LoadEstimate::OnAbandoned(TimePoint now) {
  Advance(now);
  if (in_progress_ > 0) --in_progress_;
}

void LoadEstimate::Restart(TimePoint now) {
  Advance(now);
  in_progress_ = 0;
  expected_ = 0;
  utilisation_ = 0;
}

std::chrono::microseconds LoadEstimate::ExpectedWait(TimePoint now) {
  Advance(now);
  const double waiting =
      std::max(0.0, static_cast<double>(in_progress_ + expected_ + 1) - slots_);
  const double service = service_s_ * (warming_ ? kWarmupFactor : 1.0);
  const double own = service * (1 + waiting / slots_);
  const double crowd = 1 - std::min(utilisation_, kMaxUtilisation);
  return std::chrono::microseconds(std::llround(own / crowd * 1e6));
}

}  // namespace cowslip::segment
