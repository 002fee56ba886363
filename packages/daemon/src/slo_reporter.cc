#include "slo_reporter.h"

namespace cowslip::daemon {

using engine::Counter;
using settings::Indicator;

SloReporter::SloReporter(
    const std::vector<settings::ObjectiveSettings>& objectives) {
  for (const auto& objective : objectives) {
    indicators_.push_back(objective.indicator);
    trackers_.emplace_back(
        telemetry::Objective{objective.name, objective.target});
  }
}

void SloReporter::RegisterHandlers(const std::string& instance,
                                   HttpHandlers& handlers) {
  handlers.slo_report_html = [this, instance] {
    const std::lock_guard lock(mutex_);
    return telemetry::FormatBurnPage(instance, trackers_,
                                     std::chrono::steady_clock::now());
  };
  handlers.slo_report_text = [this] {
    const std::lock_guard lock(mutex_);
    return telemetry::FormatBurnText(trackers_,
                                     std::chrono::steady_clock::now());
  };
}

void SloReporter::AddTotals(Indicator indicator,
                            const engine::Counters& counters,
                            telemetry::EventTotals& totals) {
  switch (indicator) {
    case Indicator::kDatagrams: {
      const auto dropped = counters.Get(Counter::kDropNoUpstream) +
                           counters.Get(Counter::kDropUnknownService);
      totals.good += counters.Get(Counter::kCallerDatagrams) - dropped;
      totals.bad += dropped;
      return;
    }
    case Indicator::kRequests:
      totals.good += counters.Get(Counter::kRuns);
      totals.bad += counters.Get(Counter::kNotRun) +
                    counters.Get(Counter::kOutcomesUnknown);
      return;
    case Indicator::kFlows:
      totals.good += counters.Get(Counter::kFlowsAdopted);
      totals.bad += counters.Get(Counter::kFlowsRefused);
      return;
  }
}

void SloReporter::Sample(std::size_t index,
                         const telemetry::EventTotals& totals, TimePoint now) {
  const std::lock_guard lock(mutex_);
  trackers_[index].AddSample(totals, now);
}

}  // namespace cowslip::daemon
