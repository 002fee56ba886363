#pragma once

#include <prometheus/collectable.h>

#include <cstdint>
#include <vector>

#include "cowslip/engine.h"
#include "cowslip/telemetry.h"

namespace cowslip::daemon {

/// Exports the counters of traffic loops, summed, as Prometheus metrics.
/// @tparam Loop BalancerLoop or SidecarLoop; needs counters() and dropped().
template <typename Loop>
class EngineMetrics : public prometheus::Collectable {
 public:
  explicit EngineMetrics(std::vector<const Loop*> loops)
      : loops_(std::move(loops)) {}

  std::vector<prometheus::MetricFamily> Collect() const override {
    std::vector<prometheus::MetricFamily> families;
    for (std::size_t i = 0; i < kCounters; ++i) {
      const auto counter = static_cast<engine::Counter>(i);
      std::uint64_t sum = 0;
      for (const auto* loop : loops_) sum += loop->counters().Get(counter);
      families.push_back(telemetry::MakeCounter(
          "cowslip_" + std::string(engine::CounterName(counter)) + "_total",
          "Events of the traffic threads.", static_cast<double>(sum)));
    }
    std::uint64_t dropped = 0;
    for (const auto* loop : loops_) dropped += loop->dropped();
    families.push_back(telemetry::MakeCounter(
        "cowslip_drop_unreadable_total",
        "Datagrams dropped as foreign, forged, truncated or too old.",
        static_cast<double>(dropped)));
    return families;
  }

 private:
  static constexpr auto kCounters =
      static_cast<std::size_t>(engine::Counter::kCount);
  std::vector<const Loop*> loops_;
};

}  // namespace cowslip::daemon
