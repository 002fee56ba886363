#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::telemetry {

/// Numbers of good and bad events since the start of the process.
struct EventTotals {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
};

/// A service-level objective: the target share of good events.
struct Objective {
  std::string name;
  double target = 0.999;  ///< The error budget is 1 - target.
};

/// Burn rate of the error budget over one time window.
struct BurnRate {
  std::chrono::minutes window{};
  std::chrono::seconds covered{};  ///< Less than the window soon after a start.
  EventTotals events;
  /// Error ratio divided by the allowed error ratio; at 1, the error budget is
  /// spent exactly as fast as the objective allows.
  double rate = 0;
};

/// Computes the burn rate of an objective over several time windows.
///
/// Keeps one sample of the totals per minute for the longest window. Comparing
/// a short and a long window distinguishes a short spike from a lasting problem
/// (the multi-window method of "The Site Reliability Workbook", chapter 5).
class BurnTracker {
 public:
  static constexpr std::array<std::chrono::minutes, 4> kWindows{
      std::chrono::minutes(5), std::chrono::minutes(60),
      std::chrono::minutes(6 * 60), std::chrono::minutes(24 * 60)};

  explicit BurnTracker(Objective objective);

  /// Adds a sample of the totals; call it at least once a minute.
  void AddSample(const EventTotals& totals, TimePoint now);
  /// @return the burn rates of kWindows, in that order.
  std::vector<BurnRate> Report(TimePoint now) const;
  /// @return the burn rate of each kept minute, oldest first, for plots.
  std::vector<double> PerMinuteRates() const;
  const Objective& objective() const { return objective_; }

 private:
  /// A sample of the totals.
  struct Point {
    TimePoint time;
    EventTotals totals;
  };

  double Rate(const EventTotals& events) const;

  Objective objective_;
  std::vector<Point> points_;  ///< Oldest first, one per minute.
  Point latest_{};  ///< Last sample, also if it isn't kept in points_.
};

/// @return the SLO report as text, one line for each objective and window.
std::string FormatBurnText(const std::vector<BurnTracker>& trackers,
                           TimePoint now);

/// @return the SLO report as a self-contained HTML page with plots.
std::string FormatBurnPage(std::string_view instance,
                           const std::vector<BurnTracker>& trackers,
                           TimePoint now);

}  // namespace cowslip::telemetry
