#pragma once

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::telemetry {

/// Labels of a metric, by name.
using Labels = std::map<std::string, std::string>;

/// Builds a family with one counter. @param name ends in "_total".
prometheus::MetricFamily MakeCounter(const std::string& name,
                                     const std::string& help, double value,
                                     const Labels& labels = {});

/// Builds a family with one gauge. @param name ends in its unit.
prometheus::MetricFamily MakeGauge(const std::string& name,
                                   const std::string& help, double value,
                                   const Labels& labels = {});

/// Builds a family with one histogram of seconds. @param name ends in
///     "_seconds".
prometheus::MetricFamily MakeHistogram(const std::string& name,
                                       const std::string& help,
                                       const LatencyHistogram& histogram);

/// Registry of the metrics of a process. Sources are read on each scrape.
/// Thread-safe.
class Metrics {
 public:
  /// Adds a source of metrics.
  void Add(std::shared_ptr<prometheus::Collectable> source);
  /// @return all metrics in the text exposition format of Prometheus.
  std::string ToPrometheusText() const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<prometheus::Collectable>> sources_;
};

}  // namespace cowslip::telemetry
