#define BOOST_TEST_MODULE walk
#include <boost/test/unit_test.hpp>

#include "support/lookup_simulation.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kChanges = 12;

/// Runs one seed and checks that live flows keep their owner, that no flow has
/// two owners, and the limit of hops.
void CheckSeed(std::uint64_t seed, const LookupOptions& options) {
  LookupSimulation simulation(seed, options);
  simulation.StartFlows();
  simulation.network.RunFor(2 * LookupSimulation::kIdleTimeout);
  for (int i = 0; i < kChanges; ++i) {
    // The changes are at the same time, or up to one idle timeout apart.
    if (simulation.network.Draw(3) != 0) {
      simulation.network.RunFor(
          simulation.network.DrawDuration({}, LookupSimulation::kIdleTimeout));
    }
    simulation.ChangeRandomly();
  }
  simulation.WaitUntilStable();
  for (const auto& violation : simulation.violations) {
    BOOST_ERROR("seed " << seed << ": " << violation);
  }
  BOOST_TEST(simulation.most_hops <= LookupSimulation::kMaxHops,
             "seed " << seed);
  for (std::uint32_t flow = 1; flow <= options.flows; ++flow) {
    BOOST_TEST(simulation.OwnersOf(flow).size() <= 1U,
               "seed " << seed << " flow " << flow);
  }
}

BOOST_AUTO_TEST_CASE(LiveFlowsAreFoundThroughRandomChanges) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) CheckSeed(seed, {});
}

BOOST_AUTO_TEST_CASE(LiveFlowsAreFoundWhenFramesAreLost) {
  LookupOptions options;
  options.loss = 0.02;
  options.longest_pause = 0.3;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) CheckSeed(seed, options);
}

BOOST_AUTO_TEST_CASE(NewFlowCostsOneHopInASteadyState) {
  LookupOptions options;
  options.flows = 500;
  LookupSimulation simulation(7, options);
  simulation.StartFlows();
  simulation.network.RunFor(2 * LookupSimulation::kIdleTimeout);
  BOOST_TEST(simulation.new_flows == options.flows);
  BOOST_TEST(simulation.frames_of_new_flows == options.flows);
}

/// All upstreams have just joined, and there are more of them than the list of
/// visited upstreams in a frame can hold.
BOOST_AUTO_TEST_CASE(NewFlowsAreAcceptedWhenAllUpstreamsJoinedRecently) {
  LookupOptions options;
  options.upstreams = 12;
  options.flows = 50;
  LookupSimulation simulation(8, options);
  for (std::uint32_t i = 1; i <= options.upstreams; ++i) simulation.Restart(i);
  simulation.network.RunFor(std::chrono::seconds(1));
  simulation.StartFlows();
  simulation.network.RunFor(LookupSimulation::kIdleTimeout);
  BOOST_TEST(simulation.new_flows == options.flows);
  BOOST_TEST(simulation.most_hops <= LookupSimulation::kMaxHops);
}

}  // namespace
}  // namespace cowslip::testing
