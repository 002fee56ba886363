#include "experiments/workload.h"

#include <random>

namespace cowslip::experiments {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

Workload MakeWorkload(const Deployment& deployment,
                      const std::vector<Phase>& phases, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> exponential(1.0);
  const auto active =
      static_cast<std::uint32_t>(kFlowsPerUpstream * deployment.speeds.size());
  std::uniform_int_distribution<std::uint32_t> pick(0, active - 1);
  std::uniform_int_distribution<std::uint32_t> replace(0, kRequestsPerFlow - 1);
  std::vector<std::uint32_t> flows(active);
  for (std::uint32_t i = 0; i < active; ++i) flows[i] = i;
  auto next_flow = active;
  Workload workload;
  for (const auto& phase : phases) {
    const auto rate = deployment.Capacity() * phase.load;
    auto time = workload.length;
    workload.length += phase.length;
    while (rate > 0) {
      time += std::chrono::duration_cast<Duration>(
          Seconds(exponential(random) / rate));
      if (time >= workload.length) break;
      auto& flow = flows[pick(random)];
      if (replace(random) == 0) flow = next_flow++;
      const auto demand = Seconds(kMeanService) * exponential(random);
      workload.jobs.push_back(
          {time, std::chrono::duration_cast<Duration>(demand), flow});
    }
  }
  return workload;
}

}  // namespace cowslip::experiments
