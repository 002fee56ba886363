#define BOOST_TEST_MODULE walk
#include <boost/test/unit_test.hpp>

#include "support/walk_world.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kChanges = 12;

/// Runs one seed and checks every line of the invariant.
void CheckSeed(std::uint64_t seed, const WalkOptions& options) {
  WalkWorld world(seed, options);
  world.StartFlows();
  world.network.RunFor(2 * WalkWorld::kIdleTimeout);
  for (int i = 0; i < kChanges; ++i) {
    // Changes at the same moment, or up to one idle timeout apart.
    if (world.network.Draw(3) != 0) {
      world.network.RunFor(
          world.network.DrawDuration({}, WalkWorld::kIdleTimeout));
    }
    world.Change();
  }
  world.Settle();
  for (const auto& line : world.broken) {
    BOOST_ERROR("seed " << seed << ": " << line);
  }
  BOOST_TEST(world.most_hops <= WalkWorld::kMaxHops, "seed " << seed);
  for (std::uint32_t flow = 1; flow <= options.flows; ++flow) {
    BOOST_TEST(world.OwnersOf(flow).size() <= 1U,
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
  WalkWorld world(7, options);
  world.StartFlows();
  world.network.RunFor(2 * WalkWorld::kIdleTimeout);
  BOOST_TEST(world.new_flows == options.flows);
  BOOST_TEST(world.frames_of_new_flows == options.flows);
}

/// A service whose upstreams are all young, more of them than a frame can list.
BOOST_AUTO_TEST_CASE(NewFlowsAreAdoptedWhenAllUpstreamsAreYoung) {
  WalkOptions options;
  options.upstreams = 12;
  options.flows = 50;
  WalkWorld world(8, options);
  for (std::uint32_t id = 1; id <= options.upstreams; ++id) world.Restart(id);
  world.network.RunFor(std::chrono::seconds(1));
  world.StartFlows();
  world.network.RunFor(WalkWorld::kIdleTimeout);
  BOOST_TEST(world.new_flows == options.flows);
  BOOST_TEST(world.most_hops <= WalkWorld::kMaxHops);
}

}  // namespace
}  // namespace cowslip::testing
