#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "cowslip/daemon/http_server.h"
#include "cowslip/engine.h"
#include "cowslip/settings.h"
#include "cowslip/telemetry.h"
#include "stop_signal.h"

namespace cowslip::daemon {

/// Samples the service-level objectives of a process and serves the SLO report:
/// the burn rate of each objective's error budget.
class SloReporter {
 public:
  explicit SloReporter(
      const std::vector<settings::ObjectiveSettings>& objectives);

  /// Sets the handlers of the report's pages; the reporter must outlive the
  /// HttpServer that they are given to.
  void RegisterHandlers(const std::string& instance, HttpHandlers& handlers);

  /// Samples the counters of the loops every kSampleInterval until a stop
  /// signal is received.
  /// @tparam Loop BalancerLoop or SidecarLoop; needs counters().
  template <typename Loop>
  void SampleUntilStopped(const StopSignal& stop,
                          const std::vector<const Loop*>& loops) {
    do {
      const auto now = std::chrono::steady_clock::now();
      for (std::size_t i = 0; i < indicators_.size(); ++i) {
        telemetry::EventTotals totals;
        for (const auto* loop : loops) {
          AddTotals(indicators_[i], loop->counters(), totals);
        }
        Sample(i, totals, now);
      }
    } while (!stop.WaitFor(kSampleInterval));
  }

 private:
  static constexpr std::chrono::seconds kSampleInterval{10};

  static void AddTotals(settings::Indicator indicator,
                        const engine::Counters& counters,
                        telemetry::EventTotals& totals);
  void Sample(std::size_t index, const telemetry::EventTotals& totals,
              TimePoint now);

  std::vector<settings::Indicator> indicators_;
  std::mutex mutex_;
  std::vector<telemetry::BurnTracker> trackers_;
};

}  // namespace cowslip::daemon
