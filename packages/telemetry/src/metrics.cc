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

void Metrics::Add(std::shared_ptr<prometheus::Collectable> source) {
  const std::lock_guard lock(mutex_);
  sources_.push_back(std::move(source));
}

std::string Metrics::Text() const {
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
