#include "burn_board.h"

namespace cowslip::daemon {

using engine::Counter;
using settings::Indicator;

BurnBoard::BurnBoard(
    const std::vector<settings::ObjectiveSettings>& objectives) {
  for (const auto& objective : objectives) {
    indicators_.push_back(objective.indicator);
    trackers_.emplace_back(
        telemetry::Objective{objective.name, objective.target});
  }
}

void BurnBoard::AddPages(const std::string& instance, HttpContent& content) {
  content.report = [this, instance] {
    const std::lock_guard lock(mutex_);
    return telemetry::FormatBurnPage(instance, trackers_,
                                     std::chrono::steady_clock::now());
  };
  content.burn = [this] {
    const std::lock_guard lock(mutex_);
    return telemetry::FormatBurnText(trackers_,
                                     std::chrono::steady_clock::now());
  };
}

void BurnBoard::AddTotals(Indicator indicator, const engine::Counters& counters,
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

void BurnBoard::Sample(std::size_t index, const telemetry::EventTotals& totals,
                       TimePoint now) {
  const std::lock_guard lock(mutex_);
  trackers_[index].Sample(totals, now);
}

}  // namespace cowslip::daemon
