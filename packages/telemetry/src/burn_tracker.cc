#include <algorithm>

#include "cowslip/telemetry/burn_rate.h"

namespace cowslip::telemetry {
namespace {

constexpr std::chrono::minutes kSampleInterval{1};

EventTotals Difference(const EventTotals& later, const EventTotals& earlier) {
  return {later.good - earlier.good, later.bad - earlier.bad};
}

}  // namespace

BurnTracker::BurnTracker(Objective objective)
    : objective_(std::move(objective)) {}

void BurnTracker::AddSample(const EventTotals& totals, TimePoint now) {
  latest_ = {now, totals};
  if (!points_.empty() && now - points_.back().time < kSampleInterval) return;
  points_.push_back(latest_);
  const auto oldest = now - kWindows.back() - kSampleInterval;
  const auto first_kept =
      std::find_if(points_.begin(), points_.end(),
                   [&](const Point& point) { return point.time >= oldest; });
  points_.erase(points_.begin(), first_kept);
}

double BurnTracker::Rate(const EventTotals& events) const {
  const auto total = static_cast<double>(events.good + events.bad);
  if (total == 0) return 0;
  return static_cast<double>(events.bad) / total / (1 - objective_.target);
}

std::vector<BurnRate> BurnTracker::Report(TimePoint now) const {
  std::vector<BurnRate> report;
  for (const auto window : kWindows) {
    BurnRate burn;
    burn.window = window;
    const auto first = std::find_if(
        points_.begin(), points_.end(),
        [&](const Point& point) { return point.time >= now - window; });
    if (first != points_.end()) {
      burn.covered = std::chrono::duration_cast<std::chrono::seconds>(
          latest_.time - first->time);
      burn.events = Difference(latest_.totals, first->totals);
      burn.rate = Rate(burn.events);
    }
    report.push_back(burn);
  }
  return report;
}

std::vector<double> BurnTracker::PerMinuteRates() const {
  std::vector<double> series;
  for (std::size_t i = 1; i < points_.size(); ++i) {
    series.push_back(
        Rate(Difference(points_[i].totals, points_[i - 1].totals)));
  }
  return series;
}

}  // namespace cowslip::telemetry
