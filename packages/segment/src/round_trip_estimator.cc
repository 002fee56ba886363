#include "cowslip/segment/round_trip_estimator.h"

namespace cowslip::segment {
namespace {

/// Weights of one sample as divisors, from RFC 6298.
constexpr int kSmoothedDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviationFactor = 4;

}  // namespace

void RoundTripEstimator::OnSample(Duration round_trip) {
  if (!sampled_) {
    sampled_ = true;
    smoothed_ = round_trip;
    deviation_ = round_trip / 2;
    return;
  }
  const Duration error = round_trip - smoothed_;
  deviation_ += (std::chrono::abs(error) - deviation_) / kDeviationDivisor;
  smoothed_ += error / kSmoothedDivisor;
}

Duration RoundTripEstimator::Timeout(int resends) const {
  const Duration measured = smoothed_ + kDeviationFactor * deviation_;
  const Duration base = std::max<Duration>(measured, kMinTimeout);
  const int doublings = std::min(resends, kMaxBackoff);
  return std::min<Duration>(base * (1 << doublings), kMaxTimeout);
}

}  // namespace cowslip::segment
