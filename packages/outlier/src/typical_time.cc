#include "cowslip/outlier/typical_time.h"

#include <algorithm>
#include <cmath>

namespace cowslip::outlier {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::microseconds kMinTime{1};

}  // namespace

void TypicalTime::Add(Duration time, TimePoint now) {
  const auto limited = std::clamp<Duration>(time, kMinTime, kMaxTime);
  const double sample = std::log2(Seconds(limited).count());
  const double distance = sample - log_seconds_.Mean();
  const bool is_far =
      samples_ == kMinSamples && std::abs(distance) >= std::log2(kChangeFactor);
  const bool is_longer = distance > 0;
  if (!is_far || is_longer != run_is_longer_) run_length_ = 0;
  run_is_longer_ = is_longer;
  if (is_far) run_[run_length_++] = sample;
  if (run_length_ < kChangeRun) {
    log_seconds_.Add(sample, now);
  } else {
    log_seconds_ = AgedWeight(kMinWeight);
    for (const double each : run_) log_seconds_.Add(each, now);
    run_length_ = 0;
  }
  samples_ = std::min(samples_ + 1, kMinSamples);
}

std::optional<Duration> TypicalTime::Get() const {
  if (samples_ < kMinSamples) return std::nullopt;
  return std::chrono::duration_cast<Duration>(Seconds(std::exp2(
      log_seconds_.Mean() - kStandardErrors * log_seconds_.StandardError())));
}

}  // namespace cowslip::outlier
