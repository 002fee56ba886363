#define BOOST_TEST_MODULE reply_path
#include <boost/test/unit_test.hpp>

#include "support/feed_fixture.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kCaller = 1;
constexpr milliseconds kInterval{100};
/// Detection of a silent balancer, one more hop and one interval.
constexpr milliseconds kLongestGap{350};

const Endpoint kFirst = VirtualNetwork::BalancerAt(1);

struct QuietFeed : FeedFixture {
  explicit QuietFeed(std::uint64_t seed) : FeedFixture(seed) {
    acknowledges = false;
    Observe(kCaller, kFirst);
    NotifyEvery(kInterval, coap::Type::kNon);
    network.RunFor(seconds(2));
  }
  /// Every value of now has arrived a second later.
  void CheckNoLoss(Duration longest_gap = kLongestGap) {
    const auto told = value;
    network.RunFor(seconds(1));
    const auto& feed = feeds[kCaller];
    BOOST_TEST((network.now() - feed.last <= longest_gap));
    BOOST_TEST((feed.longest_gap <= longest_gap));
    BOOST_TEST(feed.foreign == 0U);
    for (std::uint64_t i = 1; i <= told; ++i) {
      BOOST_TEST(feed.values.contains(i), "value " << i);
    }
  }
};

BOOST_AUTO_TEST_CASE(QuietFeedSurvivesTheDeathOfItsBalancer) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    QuietFeed world(seed);
    world.network.Kill(kFirst);
    world.network.RunFor(seconds(3));
    world.CheckNoLoss();
  }
}

BOOST_AUTO_TEST_CASE(QuietFeedSurvivesAFrozenBalancer) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    QuietFeed world(seed);
    world.network.Freeze(kFirst);
    world.network.RunFor(seconds(3));
    world.network.Unfreeze(kFirst);
    world.network.RunFor(seconds(3));
    world.CheckNoLoss();
  }
}

BOOST_AUTO_TEST_CASE(QuietFeedMovesAwayFromALeavingBalancerAtOnce) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    QuietFeed world(seed);
    world.network.WithBalancer(kFirst, [](auto& balancer, auto& effects) {
      balancer.StartDrain(effects);
    });
    world.network.RunFor(milliseconds(20));
    world.network.Kill(kFirst);
    const auto retried = world.network.Total(engine::Counter::kRepliesRetried);
    world.network.RunFor(seconds(3));
    world.CheckNoLoss();
    BOOST_TEST(world.network.Total(engine::Counter::kRepliesRetried) ==
               retried);
  }
}

BOOST_AUTO_TEST_CASE(QuietFeedSurvivesLossAndTwoDeathsAtOnce) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    QuietFeed world(seed);
    world.network.faults.loss = 0.05;
    world.network.faults.duplication = 0.05;
    world.network.Kill(kFirst);
    world.network.Kill(VirtualNetwork::BalancerAt(2));
    world.network.RunFor(seconds(5));
    // Each silent balancer costs one detection.
    world.CheckNoLoss(3 * kLongestGap);
  }
}

BOOST_AUTO_TEST_CASE(ARestartedSidecarLearnsAllBalancersWithoutTraffic) {
  QuietFeed world(1);
  world.network.StartSidecar(FeedFixture::Options(2, 2));
  world.network.Publish();
  world.network.RunFor(seconds(2));
  BOOST_TEST(world.network.sidecar(UpstreamId(2)).known_balancers() == 3U);
}

BOOST_AUTO_TEST_CASE(DatagramServiceMovesToALiveBalancer) {
  FeedFixture world(3);
  world.network.services()[FeedFixture::kService].protocol =
      ticket::Protocol::kDatagram;
  world.network.ticket() = TicketNumber(2);
  world.network.Publish();
  world.network.RunFor(seconds(1));
  std::optional<std::pair<UpstreamId, flow::FlowSlot>> owner;
  std::uint64_t received = 0;
  world.network.on_upstream = [&](auto id, auto slot, auto) {
    owner = {id, slot};
  };
  world.network.on_caller = [&](const auto&, auto) { ++received; };
  world.network.SendFromCaller(kFirst, FeedFixture::Flow(1), {1, 2, 3});
  world.network.RunFor(milliseconds(50));
  world.network.Kill(kFirst);
  BOOST_REQUIRE(owner.has_value());
  constexpr std::uint64_t kSent = 50;
  for (std::uint64_t i = 0; i < kSent; ++i) {
    world.network.SendFromUpstream(owner->first, owner->second, {9});
    world.network.RunFor(milliseconds(20));
  }
  // Opaque datagrams are not repeated; those of one detection are lost.
  BOOST_TEST(received >= kSent - 10);
}

}  // namespace
}  // namespace cowslip::testing
