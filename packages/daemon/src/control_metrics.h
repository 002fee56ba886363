#pragma once

#include <prometheus/collectable.h>

#include <vector>

#include "cowslip/daemon/control_stats.h"

namespace cowslip::daemon {

/// Exports the ControlStats of a process as Prometheus metrics.
class ControlMetrics : public prometheus::Collectable {
 public:
  explicit ControlMetrics(const ControlStats& stats) : stats_(stats) {}
  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  const ControlStats& stats_;
};

}  // namespace cowslip::daemon
