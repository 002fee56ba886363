#define BOOST_TEST_MODULE offload
#include <boost/test/unit_test.hpp>

#include "experiments/engine_run.h"

namespace cowslip::experiments {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EngineOptions Options(std::uint64_t seed) {
  EngineOptions options;
  options.seed = seed;
  return options;
}

/// Guards against requests that search at the same time and all queue at the
/// upstream that each of them found to have the shortest wait.
BOOST_AUTO_TEST_CASE(ConcurrentSearchesDoNotChooseTheSameQueue) {
  constexpr std::uint32_t kUpstreams = 6;
  const Deployment deployment{"burst", 1, {1, 1, 1, 1, 1, 1}};
  int uneven = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Workload workload;
    workload.length = seconds(20);
    // One request for each slot, then as many at the same time.
    for (std::uint32_t i = 0; i < 2 * kUpstreams; ++i) {
      const bool first = i < kUpstreams;
      const Duration arrival = first ? milliseconds(50) * i : seconds(1);
      workload.jobs.push_back({arrival, seconds(2), i});
    }
    const auto result = EngineRun(Options(seed), deployment, workload).Run();
    // A second request in the same queue waits for the first one as well.
    if (result.Wait(1.0) > seconds(2)) ++uneven;
  }
  // All 10 without claims.
  BOOST_TEST(uneven <= 4);
}

}  // namespace
}  // namespace cowslip::experiments
