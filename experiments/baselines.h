#pragma once

#include <random>
#include <string>
#include <vector>

#include "cowslip/flow.h"
#include "experiments/result.h"
#include "experiments/upstream_model.h"

namespace cowslip::experiments {

using Models = std::vector<UpstreamModel>;

/// Chooses by the hash of the flow alone.
class HashOnly {
 public:
  std::string Name() const { return "hash only"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);
};

class RoundRobin {
 public:
  std::string Name() const { return "round robin"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);

 private:
  std::size_t next_ = 0;
};

/// What upstream 0 tells about its load.
enum class Lie : std::uint8_t { kNone, kIdle, kDead, kStale };

/// Chooses the lowest load per slot that the upstreams reported last, once per
/// second; ties are drawn at random.
class LeastReported {
 public:
  explicit LeastReported(Lie lie = Lie::kNone) : lie_(lie) {}
  std::string Name() const;
  std::size_t Choose(const Job& job, Models& models, Duration now);

 private:
  struct Report {
    double load = 0;
    Duration at = Duration::min();
  };

  Lie lie_;
  std::vector<Report> reports_;
  std::mt19937_64 random_{1};
};

/// Knows the requests in progress and the speed of each upstream now, and takes
/// the shortest expected wait, then the fastest.
class Oracle {
 public:
  std::string Name() const { return "oracle least loaded"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);
};

/// Also knows when each request will end.
class Clairvoyant {
 public:
  std::string Name() const { return "clairvoyant"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);
};

/// Runs a policy that decides at once; a request for an upstream with max_queue
/// requests waiting is shed.
template <typename Policy>
Result RunBaseline(Policy policy, const Deployment& deployment,
                   const Workload& workload, std::uint32_t max_queue) {
  Result result;
  result.policy = policy.Name();
  Models models;
  for (const auto speed : deployment.speeds) {
    models.emplace_back(deployment.slots, speed);
  }
  for (const auto& job : workload.jobs) {
    ++result.offered;
    auto& model = models[policy.Choose(job, models, job.arrival)];
    if (model.InProgress(job.arrival) >= model.slots() + max_queue) {
      ++result.shed;
      continue;
    }
    const auto service = model.Add(job, job.arrival);
    result.served.push_back({job.arrival, service.wait});
  }
  for (const auto& model : models) {
    result.capacity.push_back(model.speed());
    result.utilisation.push_back(std::chrono::duration<double>(model.busy()) /
                                 (workload.length * model.slots()));
  }
  return result;
}

}  // namespace cowslip::experiments
