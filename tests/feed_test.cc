#define BOOST_TEST_MODULE feed
#include <boost/test/unit_test.hpp>

#include "support/feed_fixture.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kFeeds = 20;
constexpr milliseconds kInterval{100};

/// Many feeds over three upstreams, one of which can be drained.
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
  /// Ends a drained sidecar that serves nothing any more.
  void Leave(std::uint32_t id) {
    BOOST_TEST(network.sidecar(UpstreamId(id)).flow_count() == 0U);
    network.Kill(VirtualNetwork::SidecarAt(UpstreamId(id)));
    network.members().erase(UpstreamId(id));
    network.Publish();
  }
  void Return(std::uint32_t id, std::uint64_t incarnation) {
    network.StartSidecar(Options(id, incarnation));
    network.Publish();
  }
  void CheckAll(Duration longest_gap) {
    const auto told = value;
    network.RunFor(seconds(2));
    for (std::uint32_t i = 1; i <= kFeeds; ++i) {
      const auto& feed = feeds[i];
      BOOST_TEST_CONTEXT("caller " << i) {
        BOOST_TEST((feed.longest_gap <= longest_gap));
        BOOST_TEST((network.now() - feed.last <= longest_gap));
        BOOST_TEST(feed.foreign == 0U);
        BOOST_TEST(feed.went_back == 0U);
        BOOST_TEST(feed.clashes == 0U);
        for (std::uint64_t v = 1; v <= told; ++v) {
          BOOST_TEST(feed.values.contains(v), "value " << v);
        }
        BOOST_TEST(Owners(i).size() == 1U);
      }
    }
  }
};

void DrainTwice(std::uint64_t seed, coap::Type type, double loss) {
  Feeds world(seed, type);
  world.network.faults.loss = loss;
  world.network.faults.duplication = loss;
  world.network.faults.view_lag = milliseconds(500);
  world.Drain(1);
  world.network.RunFor(seconds(2));
  world.Leave(1);
  world.network.RunFor(seconds(2));
  world.Return(1, 2);
  world.network.RunFor(seconds(2));
  world.Drain(2);
  world.network.RunFor(seconds(2));
  world.Leave(2);
  world.CheckAll(milliseconds(500));
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
      Feeds world(seed, coap::Type::kNon);
      world.acknowledges = false;
      world.Drain(1);
      world.network.Kill(VirtualNetwork::BalancerAt(1));
      world.network.Freeze(VirtualNetwork::BalancerAt(2));
      world.network.RunFor(seconds(3));
      world.Leave(1);
      world.network.Unfreeze(VirtualNetwork::BalancerAt(2));
      world.CheckAll(milliseconds(900));
    }
  }
}

BOOST_AUTO_TEST_CASE(AcknowledgementsReachTheUpstreamThatExpectsThem) {
  Feeds world(1, coap::Type::kCon);
  world.Drain(1);
  world.network.RunFor(seconds(1));
  world.foreign_acks = 0;
  world.acks_at_upstreams = 0;
  world.network.RunFor(seconds(5));
  BOOST_TEST(world.acks_at_upstreams > 0U);
  BOOST_TEST(world.foreign_acks == 0U);
}

BOOST_AUTO_TEST_CASE(LostAcknowledgementsDoNotStallAFeed) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    Feeds world(seed, coap::Type::kCon);
    world.one_at_a_time = true;
    world.acknowledgement_loss = 0.33;
    world.network.RunFor(seconds(60));
    for (std::uint32_t i = 1; i <= kFeeds; ++i) {
      const auto gap = world.feeds[i].longest_gap;
      BOOST_TEST((gap <= seconds(20)));
      BOOST_TEST(world.feeds[i].clashes == 0U);
      BOOST_TEST(world.feeds[i].went_back == 0U);
      BOOST_TEST(world.feeds[i].notifications > 100U);
    }
    BOOST_TEST(world.foreign_acks == 0U);
  }
}

BOOST_AUTO_TEST_CASE(QuietFeedOutlivesTheIdleTimeout) {
  Feeds world(1, coap::Type::kNon);
  world.acknowledges = false;
  world.network.RunFor(seconds(200));
  world.CheckAll(milliseconds(150));
}

BOOST_AUTO_TEST_CASE(LateAcknowledgementAdoptsNoFlow) {
  FeedFixture world(1);
  coap::Message ack;
  ack.type = coap::Type::kAck;
  ack.message_id = 7;
  LastReason<coap::CoapError> reason;
  world.network.SendFromCaller(world.AnyBalancer(), FeedFixture::Flow(5),
                               coap::Encode(ack, reason).value());
  world.network.RunFor(seconds(1));
  BOOST_TEST(world.network.Total(engine::Counter::kFlowsAdopted) == 0U);
  BOOST_TEST(world.network.Total(engine::Counter::kDropUnknownFlow) == 1U);
}

}  // namespace
}  // namespace cowslip::testing
