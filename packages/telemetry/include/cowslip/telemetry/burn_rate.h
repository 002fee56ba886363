#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::telemetry {

/// Sums of good and bad events since the start of the process.
struct EventTotals {
  std::uint64_t good = 0;
  std::uint64_t bad = 0;
};

/// A promised share of good events.
struct Objective {
  std::string name;
  double target = 0.999;
};

/// How fast one window spent the error budget.
struct BurnRate {
  std::chrono::minutes window{};
  std::chrono::seconds covered{};  ///< Shorter than the window after a start.
  EventTotals events;
  /// Error share over allowed error share: 1 spends the budget exactly.
  double rate = 0;
};

/// Follows an objective over several windows.
///
/// Keeps one sample of the totals per minute for the longest window; the burn
/// rates of a short and a long window together tell a spike from a trend (the
/// multi-window method of "The Site Reliability Workbook", chapter 5).
class BurnTracker {
 public:
  static constexpr std::array<std::chrono::minutes, 4> kWindows{
      std::chrono::minutes(5), std::chrono::minutes(60),
      std::chrono::minutes(6 * 60), std::chrono::minutes(24 * 60)};

  explicit BurnTracker(Objective objective);

  /// Takes a sample; call it at least once a minute.
  void Sample(const EventTotals& totals, TimePoint now);
  /// @return one entry for each of kWindows.
  std::vector<BurnRate> Report(TimePoint now) const;
  /// @return burn rate of each kept minute, oldest first, for plots.
  std::vector<double> Series() const;
  const Objective& objective() const { return objective_; }

 private:
  struct Point {
    TimePoint time;
    EventTotals totals;
  };

  double Rate(const EventTotals& events) const;

  Objective objective_;
  std::vector<Point> points_;  ///< Oldest first, one per minute.
  Point latest_{};
};

/// @return the report as text, one line for each objective and window.
std::string FormatBurnText(const std::vector<BurnTracker>& trackers,
                           TimePoint now);

/// @return the report as a web page with plots and without outside assets.
std::string FormatBurnPage(std::string_view instance,
                           const std::vector<BurnTracker>& trackers,
                           TimePoint now);

}  // namespace cowslip::telemetry
