#define BOOST_TEST_MODULE load_target
#include <boost/test/unit_test.hpp>

#include "experiments/baselines.h"
#include "experiments/engine_run.h"

namespace cowslip::experiments {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::uint32_t kMaxQueue = 16;
constexpr double kMaxRatio = 1.25;

BOOST_AUTO_TEST_CASE(WaitIsNearTheOraclesForEachService) {
  for (const auto& deployment : Deployments()) {
    const auto workload =
        MakeWorkload(deployment, {{std::chrono::seconds(60), 0.8}}, kSeed);
    const auto oracle = RunBaseline(Oracle(), deployment, workload, kMaxQueue);
    EngineOptions options;
    options.max_queue = kMaxQueue;
    options.seed = kSeed;
    const auto balanced = EngineRun(options, deployment, workload).Run();
    const auto ratio =
        std::chrono::duration<double>(balanced.Wait(0.99)) / oracle.Wait(0.99);
    BOOST_TEST(ratio <= kMaxRatio, deployment.name << ": " << ratio
                                                   << "; by cause, "
                                                   << balanced.trace.Table());
  }
}

}  // namespace
}  // namespace cowslip::experiments
