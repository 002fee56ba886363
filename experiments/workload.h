#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/base.h"
#include "experiments/deployment.h"

namespace cowslip::experiments {

/// One request of the workload.
struct Job {
  Duration arrival{};
  Duration demand{};  ///< Time on a slot of speed 1.
  std::uint32_t flow = 0;
};

/// A stretch of time with a constant offered load.
struct Phase {
  Duration length{};
  double load = 0;  ///< Relative to the capacity of the deployment.
};

struct Workload {
  std::vector<Job> jobs;
  Duration length{};
};

/// Poisson arrivals and exponential demands. Each request belongs to a random
/// open flow; one in kRequestsPerFlow opens a flow in place of an old one.
///
/// The same seed gives the same workload to every policy.
Workload MakeWorkload(const Deployment& deployment,
                      const std::vector<Phase>& phases, std::uint64_t seed);

/// Requests of a flow in its life, on average.
inline constexpr std::uint32_t kRequestsPerFlow = 20;
/// Flows open at a time, per upstream.
inline constexpr std::uint32_t kFlowsPerUpstream = 100;

}  // namespace cowslip::experiments
