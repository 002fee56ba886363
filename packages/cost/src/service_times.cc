#include "cowslip/cost/service_times.h"

#include <algorithm>
#include <cmath>

namespace cowslip::cost {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight below which a bin counts as empty: a thousandth of a sample has lost
/// its influence on a mean.
constexpr double kMinWeight = 1e-3;

std::size_t BinOf(Seconds service_time) {
  const double bounds = service_time / Seconds(ServiceTimes::kFirstBound);
  if (bounds < 1) return 0;
  const auto bin = static_cast<std::size_t>(std::ilogb(bounds)) + 1;
  return std::min(bin, ServiceTimes::kBins - 1);
}

Duration ToDuration(double seconds) {
  const double limited =
      std::clamp(seconds, 0.0, Seconds(ServiceTimes::kMaxSample).count());
  return std::chrono::duration_cast<Duration>(Seconds(limited));
}

}  // namespace

void ServiceTimes::Age(Duration loaded_time) {
  const double half_lives =
      Seconds(loaded_time - aged_until_) / Seconds(kHalfLife);
  if (half_lives <= 0) return;
  aged_until_ = loaded_time;
  if (total_.weight <= kMinSamples) return;
  const double factor =
      std::max(std::exp2(-half_lives), kMinSamples / total_.weight);
  total_ = Bin{};
  for (auto& bin : bins_) {
    bin.weight *= factor;
    bin.seconds *= factor;
    if (bin.weight < kMinWeight) bin = Bin{};
    total_.weight += bin.weight;
    total_.seconds += bin.seconds;
  }
}

void ServiceTimes::Add(Duration service_time, Duration loaded_time) {
  Age(loaded_time);
  const Seconds sample =
      std::clamp<Duration>(service_time, Duration::zero(),
                           std::chrono::duration_cast<Duration>(kMaxSample));
  for (auto* bin : {&bins_[BinOf(sample)], &total_}) {
    bin->weight += 1;
    bin->seconds += sample.count();
  }
}

Duration ServiceTimes::Mean() const {
  if (empty()) return Duration::zero();
  return ToDuration(total_.seconds / total_.weight);
}

Duration ServiceTimes::ExpectedRemaining(Duration elapsed) const {
  const double passed = Seconds(elapsed).count();
  Bin longer;
  for (const auto& bin : bins_) {
    // The samples of a bin count as equal to their mean.
    if (bin.weight == 0 || bin.seconds <= passed * bin.weight) continue;
    longer.weight += bin.weight;
    longer.seconds += bin.seconds;
  }
  if (longer.weight == 0) return ToDuration(passed);
  return ToDuration(longer.seconds / longer.weight - passed);
}

}  // namespace cowslip::cost
