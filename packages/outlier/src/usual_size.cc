#include "cowslip/outlier/usual_size.h"

#include <algorithm>
#include <cmath>

namespace cowslip::outlier {
namespace {

/// A response below half of the usual size is suspicious.
constexpr double kSuspiciousOctaves = 1;
/// Steps of the moving median, in octaves.
constexpr double kFirstStep = 0.5;
constexpr double kStep = 0.03;
/// Step for a suspicious response. At 30 responses a second, an upstream that
/// answers all requests with errors of a tenth of the usual size would count as
/// healthy after 4 s with kStep; with this, after a minute. The same time
/// passes until smaller responses of a new release are the usual ones.
constexpr double kSuspiciousStep = kStep / 16;

double LogOf(std::uint64_t bytes) {
  return std::log2(static_cast<double>(std::max<std::uint64_t>(bytes, 1)));
}

}  // namespace

bool UsualSize::IsSuspicious(std::uint64_t bytes) const {
  return samples_ >= kMinSamples &&
         LogOf(bytes) < log_size_ - kSuspiciousOctaves;
}

void UsualSize::Add(std::uint64_t bytes) {
  const double sample = LogOf(bytes);
  if (samples_ == 0) log_size_ = sample;
  const double usual_step = samples_ < kMinSamples ? kFirstStep : kStep;
  const double step = IsSuspicious(bytes) ? kSuspiciousStep : usual_step;
  const double distance = sample - log_size_;
  log_size_ += std::clamp(distance, -step, step);
  samples_ = std::min(samples_ + 1, kMinSamples);
}

}  // namespace cowslip::outlier
