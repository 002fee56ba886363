#define BOOST_TEST_MODULE feed
#include <boost/test/unit_test.hpp>

#include "support/feed_fixture.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kFeeds = 20;
constexpr milliseconds kInterval{100};

/// Observations of many callers at three upstreams, which can be drained.
struct Feeds : FeedFixture {
  Feeds(std::uint64_t seed, coap::Type type) : FeedFixture(seed, 3, 3) {
    for (std::uint32_t i = 1; i <= kFeeds; ++i) Observe(i, AnyBalancer());
    NotifyEvery(kInterval, type);
    network.RunFor(seconds(2));
  }
  void Drain(std::uint32_t id) {
    network.members()[UpstreamId(id)].state = UpstreamState::kDraining;
    network.WithSidecar(UpstreamId(id), [](auto& sidecar, auto& effects) {
      sidecar.StartDrain(effects);
    });
    network.Publish();
  }
  /// Ends a drained sidecar. It must not have any flow left.
  void RemoveSidecar(std::uint32_t id) {
    BOOST_TEST(network.sidecar(UpstreamId(id)).flow_count() == 0U);
    network.Kill(VirtualNetwork::SidecarAt(UpstreamId(id)));
    network.members().erase(UpstreamId(id));
    network.Publish();
  }
  void RestartSidecar(std::uint32_t id, std::uint64_t incarnation) {
    network.StartSidecar(Options(id, incarnation));
    network.Publish();
  }
  /// Checks for each caller that it has received all values, in order and
  /// without a long gap, and that one upstream owns its flow.
  void CheckAll(Duration longest_gap) {
    const auto value_before = value;
    network.RunFor(seconds(2));
    for (std::uint32_t i = 1; i <= kFeeds; ++i) {
      const auto& feed = feeds[i];
      BOOST_TEST_CONTEXT("caller " << i) {
        BOOST_TEST((feed.longest_gap <= longest_gap));
        BOOST_TEST((network.now() - feed.last <= longest_gap));
        BOOST_TEST(feed.misdelivered == 0U);
        BOOST_TEST(feed.reordered == 0U);
        BOOST_TEST(feed.id_conflicts == 0U);
        for (std::uint64_t v = 1; v <= value_before; ++v) {
          BOOST_TEST(feed.values.contains(v), "value " << v);
        }
        BOOST_TEST(Owners(i).size() == 1U);
      }
    }
  }
};

void DrainTwice(std::uint64_t seed, coap::Type type, double loss) {
  Feeds fixture(seed, type);
  fixture.network.faults.loss = loss;
  fixture.network.faults.duplication = loss;
  fixture.network.faults.view_lag = milliseconds(500);
  fixture.Drain(1);
  fixture.network.RunFor(seconds(2));
  fixture.RemoveSidecar(1);
  fixture.network.RunFor(seconds(2));
  fixture.RestartSidecar(1, 2);
  fixture.network.RunFor(seconds(2));
  fixture.Drain(2);
  fixture.network.RunFor(seconds(2));
  fixture.RemoveSidecar(2);
  fixture.CheckAll(milliseconds(500));
}

BOOST_AUTO_TEST_CASE(FeedsSurviveTwoDrains) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DrainTwice(seed, coap::Type::kNon, 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(FeedsSurviveTwoDrainsUnderLossAndDuplication) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      DrainTwice(seed, coap::Type::kCon, 0.05);
    }
  }
}

BOOST_AUTO_TEST_CASE(FeedsSurviveDrainAndBalancerDeathsAtOnce) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Feeds fixture(seed, coap::Type::kNon);
      fixture.acknowledges = false;
      fixture.Drain(1);
      fixture.network.Kill(VirtualNetwork::BalancerAt(1));
      fixture.network.Freeze(VirtualNetwork::BalancerAt(2));
      fixture.network.RunFor(seconds(3));
      fixture.RemoveSidecar(1);
      fixture.network.Unfreeze(VirtualNetwork::BalancerAt(2));
      fixture.CheckAll(milliseconds(900));
    }
  }
}

BOOST_AUTO_TEST_CASE(AcknowledgementsReachTheUpstreamThatNotified) {
  Feeds fixture(1, coap::Type::kCon);
  fixture.Drain(1);
  fixture.network.RunFor(seconds(1));
  fixture.foreign_acks = 0;
  fixture.acks_at_upstreams = 0;
  fixture.network.RunFor(seconds(5));
  BOOST_TEST(fixture.acks_at_upstreams > 0U);
  BOOST_TEST(fixture.foreign_acks == 0U);
}

BOOST_AUTO_TEST_CASE(LostAcknowledgementsDoNotStallAFeed) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Feeds fixture(seed, coap::Type::kCon);
    fixture.one_at_a_time = true;
    fixture.acknowledgement_loss = 0.33;
    fixture.network.RunFor(seconds(60));
    for (std::uint32_t i = 1; i <= kFeeds; ++i) {
      const auto gap = fixture.feeds[i].longest_gap;
      BOOST_TEST((gap <= seconds(20)));
      BOOST_TEST(fixture.feeds[i].id_conflicts == 0U);
      BOOST_TEST(fixture.feeds[i].reordered == 0U);
      BOOST_TEST(fixture.feeds[i].notifications > 100U);
    }
    BOOST_TEST(fixture.foreign_acks == 0U);
  }
}

BOOST_AUTO_TEST_CASE(UnacknowledgedFeedOutlivesTheIdleTimeout) {
  Feeds fixture(1, coap::Type::kNon);
  fixture.acknowledges = false;
  fixture.network.RunFor(seconds(200));
  fixture.CheckAll(milliseconds(150));
}

BOOST_AUTO_TEST_CASE(LateAcknowledgementCreatesNoFlow) {
  FeedFixture fixture(1);
  coap::Message ack;
  ack.type = coap::Type::kAck;
  ack.message_id = 7;
  LastReason<coap::CoapError> reason;
  fixture.network.SendFromCaller(fixture.AnyBalancer(), FeedFixture::Flow(5),
                                 coap::Encode(ack, reason).value());
  fixture.network.RunFor(seconds(1));
  BOOST_TEST(fixture.network.Total(engine::Counter::kFlowsAdopted) == 0U);
  BOOST_TEST(fixture.network.Total(engine::Counter::kDropUnknownFlow) == 1U);
}

}  // namespace
}  // namespace cowslip::testing
