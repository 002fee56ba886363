#include "cowslip/telemetry/metrics.h"

#include <prometheus/text_serializer.h>

namespace cowslip::telemetry {
namespace {

prometheus::MetricFamily MakeFamily(const std::string& name,
                                    const std::string& help,
                                    prometheus::MetricType type,
                                    const Labels& labels) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = type;
  auto& metric = family.metric.emplace_back();
  for (const auto& [key, value] : labels) metric.label.push_back({key, value});
  return family;
}

}  // namespace

prometheus::MetricFamily MakeCounter(const std::string& name,
                                     const std::string& help, double value,
                                     const Labels& labels) {
  auto family = MakeFamily(name, help, prometheus::MetricType::Counter, labels);
  family.metric.front().counter.value = value;
  return family;
}

prometheus::MetricFamily MakeGauge(const std::string& name,
                                   const std::string& help, double value,
                                   const Labels& labels) {
  auto family = MakeFamily(name, help, prometheus::MetricType::Gauge, labels);
  family.metric.front().gauge.value = value;
  return family;
}

prometheus::MetricFamily MakeHistogram(const std::string& name,
                                       const std::string& help,
                                       const LatencyHistogram& histogram) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = prometheus::MetricType::Histogram;
  prometheus::ClientMetric metric;
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < histogram.counts().size(); ++i) {
    cumulative += histogram.counts()[i];
    prometheus::ClientMetric::Bucket bucket;
    bucket.cumulative_count = cumulative;
    const bool last = i == LatencyHistogram::kBounds.size();
    bucket.upper_bound =
        last ? std::numeric_limits<double>::infinity()
             : std::chrono::duration<double>(LatencyHistogram::kBounds[i])
                   .count();
    metric.histogram.bucket.push_back(bucket);
  }
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum =
      std::chrono::duration<double>(histogram.sum()).count();
  family.metric.push_back(std::move(metric));
  return family;
}

void Metrics::Add(std::shared_ptr<prometheus::Collectable> source) {
  const std::lock_guard lock(mutex_);
  sources_.push_back(std::move(source));
}

std::string Metrics::ToPrometheusText() const {
  const std::lock_guard lock(mutex_);
  std::vector<prometheus::MetricFamily> families;
  for (const auto& source : sources_) {
    for (auto& family : source->Collect()) {
      families.push_back(std::move(family));
    }
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace cowslip::telemetry
