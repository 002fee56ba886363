#include "segment/load_plan.h"

#include <algorithm>

namespace cowslip::segment::test {
namespace {

Duration ToDuration(std::chrono::duration<double> time) {
  return std::chrono::duration_cast<Duration>(time);
}

void SortByTime(std::vector<PlannedFlow>& flows) {
  std::stable_sort(
      flows.begin(), flows.end(),
      [](const auto& a, const auto& b) { return a.opens_at < b.opens_at; });
}

}  // namespace

void FlowGenerator::Add(LoadPlan& plan, Duration length, double peak,
                        const std::function<double(int, Duration)>& rate) {
  constexpr std::uint16_t kPort = 443;
  std::uniform_real_distribution<double> uniform;
  for (int center = 0; center < plan.data_centers; ++center) {
    // Thins out a process of constant rate.
    for (auto at = ToDuration(Gap(peak)); at < length;
         at += ToDuration(Gap(peak))) {
      if (uniform(random_) * peak > rate(center, at)) continue;
      plan.flows.push_back({at, center, kPort, {{Duration{}, cost_(random_)}}});
    }
  }
  SortByTime(plan.flows);
}

void FlowGenerator::AddLong(LoadPlan& plan, Duration length, double rate,
                            int requests, Duration distance) {
  constexpr std::uint16_t kPort = 8443;
  std::uniform_int_distribution<int> center(0, plan.data_centers - 1);
  for (auto at = ToDuration(Gap(rate)); at < length;
       at += ToDuration(Gap(rate))) {
    PlannedFlow flow{at, center(random_), kPort, {}};
    // At even distances, the moment of the first request would tell when all
    // others come.
    std::uniform_real_distribution<double> jitter(0.2, 1.8);
    Duration after_open{};
    for (int i = 0; i < requests; ++i) {
      flow.requests.push_back({after_open, cost_(random_)});
      after_open += ToDuration(jitter(random_) * distance);
    }
    plan.flows.push_back(std::move(flow));
  }
  SortByTime(plan.flows);
}

}  // namespace cowslip::segment::test
