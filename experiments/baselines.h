#pragma once

#include <random>
#include <string>
#include <vector>

#include "cowslip/flow.h"
#include "experiments/result.h"
#include "experiments/upstream_model.h"

namespace cowslip::experiments {

using Models = std::vector<UpstreamModel>;

/// Chooses the first-ranked upstream by the hash of the flow, whatever its
/// load.
class HashOnly {
 public:
  std::string Name() const { return "hash only"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);
};

/// Chooses the upstreams in turn.
class RoundRobin {
 public:
  std::string Name() const { return "round robin"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);

 private:
  std::size_t next_ = 0;
};

/// How upstream 0 misreports its load.
enum class Misreport : std::uint8_t {
  kNone,
  kIdle,  ///< Always reports no load.
  kDead,  ///< Always reports a load too high to be chosen.
  kStale  ///< Reports its load every 10 s instead of every second.
};

/// Chooses the upstream whose last report, one per second, has the lowest load
/// per slot; breaks ties at random.
class LeastReported {
 public:
  explicit LeastReported(Misreport misreport = Misreport::kNone)
      : misreport_(misreport) {}
  std::string Name() const;
  std::size_t Choose(const Job& job, Models& models, Duration now);

 private:
  struct Report {
    double load = 0;
    Duration at = Duration::min();
  };

  Misreport misreport_;
  std::vector<Report> reports_;
  std::mt19937_64 random_{1};
};

/// Chooses the shortest expected wait, then the fastest upstream, with perfect
/// information on the requests in progress and the speed of each upstream.
class Oracle {
 public:
  std::string Name() const { return "oracle least loaded"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);
};

/// Chooses the shortest actual wait, then the fastest upstream, with perfect
/// information on when each request in progress will end.
class Clairvoyant {
 public:
  std::string Name() const { return "clairvoyant"; }
  std::size_t Choose(const Job& job, Models& models, Duration now);
};

/// Runs a policy that chooses an upstream for each request on its arrival. A
/// request for an upstream with max_queue requests waiting is shed.
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
    result.served.push_back({job.arrival, service.wait, service.wait,
                             service.finish - job.arrival});
  }
  for (const auto& model : models) {
    result.capacity.push_back(model.speed());
    result.utilisation.push_back(std::chrono::duration<double>(model.busy()) /
                                 (workload.length * model.slots()));
  }
  return result;
}

}  // namespace cowslip::experiments
