#define BOOST_TEST_MODULE walk
#include <boost/test/unit_test.hpp>

#include "support/walk_world.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kChanges = 12;

/// Runs one seed and checks that live flows keep their owner, that no flow has
/// two owners, and the limit of hops.
void CheckSeed(std::uint64_t seed, const WalkOptions& options) {
  WalkWorld simulation(seed, options);
  simulation.StartFlows();
  simulation.network.RunFor(2 * WalkWorld::kIdleTimeout);
  for (int i = 0; i < kChanges; ++i) {
    // The changes are at the same time, or up to one idle timeout apart.
    if (simulation.network.Draw(3) != 0) {
      simulation.network.RunFor(
          simulation.network.DrawDuration({}, WalkWorld::kIdleTimeout));
    }
    simulation.Change();
  }
  simulation.Settle();
  for (const auto& violation : simulation.broken) {
    BOOST_ERROR("seed " << seed << ": " << violation);
  }
  BOOST_TEST(simulation.most_hops <= WalkWorld::kMaxHops, "seed " << seed);
  for (std::uint32_t flow = 1; flow <= options.flows; ++flow) {
    BOOST_TEST(simulation.OwnersOf(flow).size() <= 1U,
               "seed " << seed << " flow " << flow);
  }
}

BOOST_AUTO_TEST_CASE(LiveFlowsAreFoundThroughRandomChanges) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) CheckSeed(seed, {});
}

BOOST_AUTO_TEST_CASE(LiveFlowsAreFoundWhenFramesAreLost) {
  WalkOptions options;
  options.loss = 0.02;
  options.longest_pause = 0.3;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) CheckSeed(seed, options);
}

BOOST_AUTO_TEST_CASE(NewFlowCostsOneHopInASteadyState) {
  WalkOptions options;
  options.flows = 500;
  WalkWorld simulation(7, options);
  simulation.StartFlows();
  simulation.network.RunFor(2 * WalkWorld::kIdleTimeout);
  BOOST_TEST(simulation.new_flows == options.flows);
  BOOST_TEST(simulation.frames_of_new_flows == options.flows);
}

/// All upstreams have just joined, and there are more of them than the list of
/// visited upstreams in a frame can hold.
BOOST_AUTO_TEST_CASE(NewFlowsAreAdoptedWhenAllUpstreamsAreYoung) {
  WalkOptions options;
  options.upstreams = 12;
  options.flows = 50;
  WalkWorld simulation(8, options);
  for (std::uint32_t i = 1; i <= options.upstreams; ++i) simulation.Restart(i);
  simulation.network.RunFor(std::chrono::seconds(1));
  simulation.StartFlows();
  simulation.network.RunFor(WalkWorld::kIdleTimeout);
  BOOST_TEST(simulation.new_flows == options.flows);
  BOOST_TEST(simulation.most_hops <= WalkWorld::kMaxHops);
}

}  // namespace
}  // namespace cowslip::testing
