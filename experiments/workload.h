#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/base.h"
#include "experiments/deployment.h"

namespace cowslip::experiments {

/// One request of the workload.
struct Job {
  Duration arrival{};
  Duration demand{};  ///< Service time on a slot of speed 1.
  std::uint32_t flow = 0;
};

/// A period of constant offered load.
struct Phase {
  Duration length{};
  double load = 0;  ///< Relative to the capacity of the deployment.
};

/// The requests of a run, in the order of their arrival.
struct Workload {
  std::vector<Job> jobs;
  Duration length{};
};

/// Generates a workload with Poisson arrivals and exponential service times.
/// Each request belongs to a random active flow; one in kRequestsPerFlow starts
/// a new flow that replaces an old one.
///
/// The workload depends only on the arguments, so that all policies are
/// compared on the same one.
Workload MakeWorkload(const Deployment& deployment,
                      const std::vector<Phase>& phases, std::uint64_t seed);

/// Mean number of requests in the lifetime of a flow.
inline constexpr std::uint32_t kRequestsPerFlow = 20;
/// Number of concurrent flows per upstream.
inline constexpr std::uint32_t kFlowsPerUpstream = 100;

}  // namespace cowslip::experiments
