#define BOOST_TEST_MODULE reply_path
#include <boost/test/unit_test.hpp>

#include "support/feed_fixture.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kCaller = 1;
constexpr milliseconds kInterval{100};
/// Time to detect an unresponsive balancer, plus one hop and one interval.
constexpr milliseconds kLongestGap{350};

const Endpoint kFirstBalancer = VirtualNetwork::BalancerAt(1);

/// An observation whose caller does not acknowledge notifications, so that the
/// sidecar receives no further datagrams from it.
struct UnacknowledgedFeed : FeedFixture {
  explicit UnacknowledgedFeed(std::uint64_t seed) : FeedFixture(seed) {
    acknowledges = false;
    Observe(kCaller, kFirstBalancer);
    NotifyEvery(kInterval, coap::Type::kNon);
    network.RunFor(seconds(2));
  }
  /// Checks that all values up to now have arrived a second later, without a
  /// long gap.
  void CheckNoLoss(Duration longest_gap = kLongestGap) {
    const auto value_before = value;
    network.RunFor(seconds(1));
    const auto& feed = feeds[kCaller];
    BOOST_TEST((network.now() - feed.last <= longest_gap));
    BOOST_TEST((feed.longest_gap <= longest_gap));
    BOOST_TEST(feed.misdelivered == 0U);
    for (std::uint64_t i = 1; i <= value_before; ++i) {
      BOOST_TEST(feed.values.contains(i), "value " << i);
    }
  }
};

BOOST_AUTO_TEST_CASE(FeedSurvivesTheFailureOfItsBalancer) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    UnacknowledgedFeed fixture(seed);
    fixture.network.Kill(kFirstBalancer);
    fixture.network.RunFor(seconds(3));
    fixture.CheckNoLoss();
  }
}

BOOST_AUTO_TEST_CASE(FeedSurvivesAFrozenBalancer) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    UnacknowledgedFeed fixture(seed);
    fixture.network.Freeze(kFirstBalancer);
    fixture.network.RunFor(seconds(3));
    fixture.network.Unfreeze(kFirstBalancer);
    fixture.network.RunFor(seconds(3));
    fixture.CheckNoLoss();
  }
}

BOOST_AUTO_TEST_CASE(FeedMovesAtOnceFromAStoppingBalancer) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    UnacknowledgedFeed fixture(seed);
    fixture.network.WithBalancer(
        kFirstBalancer,
        [](auto& balancer, auto& effects) { balancer.StartDrain(effects); });
    fixture.network.RunFor(milliseconds(20));
    fixture.network.Kill(kFirstBalancer);
    const auto retried =
        fixture.network.Total(engine::Counter::kRepliesRetried);
    fixture.network.RunFor(seconds(3));
    fixture.CheckNoLoss();
    BOOST_TEST(fixture.network.Total(engine::Counter::kRepliesRetried) ==
               retried);
  }
}

BOOST_AUTO_TEST_CASE(FeedSurvivesLossAndTwoFailuresAtOnce) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    UnacknowledgedFeed fixture(seed);
    fixture.network.faults.loss = 0.05;
    fixture.network.faults.duplication = 0.05;
    fixture.network.Kill(kFirstBalancer);
    fixture.network.Kill(VirtualNetwork::BalancerAt(2));
    fixture.network.RunFor(seconds(5));
    // Each unresponsive balancer has to be detected.
    fixture.CheckNoLoss(3 * kLongestGap);
  }
}

BOOST_AUTO_TEST_CASE(RestartedSidecarFindsAllBalancersWithoutTraffic) {
  UnacknowledgedFeed fixture(1);
  fixture.network.StartSidecar(FeedFixture::Options(2, 2));
  fixture.network.Publish();
  fixture.network.RunFor(seconds(2));
  BOOST_TEST(fixture.network.sidecar(UpstreamId(2)).known_balancers() == 3U);
}

BOOST_AUTO_TEST_CASE(DatagramServiceMovesToARunningBalancer) {
  FeedFixture fixture(3);
  fixture.network.services()[FeedFixture::kService].protocol =
      ticket::Protocol::kDatagram;
  fixture.network.ticket() = TicketNumber(2);
  fixture.network.Publish();
  fixture.network.RunFor(seconds(1));
  std::optional<std::pair<UpstreamId, flow::FlowSlot>> owner;
  std::uint64_t received = 0;
  fixture.network.on_upstream = [&](auto id, auto slot, auto) {
    owner = {id, slot};
  };
  fixture.network.on_caller = [&](const auto&, auto) { ++received; };
  fixture.network.SendFromCaller(kFirstBalancer, FeedFixture::Flow(1),
                                 {1, 2, 3});
  fixture.network.RunFor(milliseconds(50));
  fixture.network.Kill(kFirstBalancer);
  BOOST_REQUIRE(owner.has_value());
  constexpr std::uint64_t kSent = 50;
  for (std::uint64_t i = 0; i < kSent; ++i) {
    fixture.network.SendFromUpstream(owner->first, owner->second, {9});
    fixture.network.RunFor(milliseconds(20));
  }
  // Replies of a datagram service are not sent again: those sent before the
  // failure is detected are lost.
  BOOST_TEST(received >= kSent - 10);
}

}  // namespace
}  // namespace cowslip::testing
