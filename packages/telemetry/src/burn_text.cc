#include <spdlog/fmt/fmt.h>

#include "cowslip/telemetry/burn_rate.h"

namespace cowslip::telemetry {

std::string FormatBurnText(const std::vector<BurnTracker>& trackers,
                           TimePoint now) {
  std::string text;
  for (const auto& tracker : trackers) {
    for (const auto& burn : tracker.Report(now)) {
      text += fmt::format(
          "objective={} target={} window_minutes={} covered_s={} good={} "
          "bad={} burn_rate={:.3f}\n",
          tracker.objective().name, tracker.objective().target,
          burn.window.count(), burn.covered.count(), burn.events.good,
          burn.events.bad, burn.rate);
    }
  }
  return text;
}

}  // namespace cowslip::telemetry
