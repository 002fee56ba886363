#define BOOST_TEST_MODULE relay
#include "cowslip/relay.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "relay_simulation.h"

namespace cowslip::relay {
namespace {

namespace data = boost::unit_test::data;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kWatchers = 3;
constexpr seconds kSettle{20};

std::string UpstreamKey(int service, int id) {
  return "cowslip/upstreams/" + std::to_string(service) + "/" +
         std::to_string(id);
}

void Fill(RelaySimulation& fleet, std::size_t balancers, std::size_t sidecars) {
  for (std::size_t i = 0; i < balancers; ++i) fleet.AddBalancer();
  for (std::size_t i = 0; i < sidecars; ++i) fleet.AddSidecar(ServiceId{1});
  fleet.Run(kSettle);
}

BOOST_DATA_TEST_CASE(WatchersDontGrowWithTheFleet,
                     data::make({4, 12, 40}) * data::make({1, 2}), size, seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  const auto count = static_cast<std::size_t>(size);
  Fill(fleet, count, count);
  BOOST_TEST(fleet.Watchers() == kWatchers);
  const auto calls = fleet.store_calls;
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(1, seconds(2)).count() < 2000);
  BOOST_TEST(fleet.store_calls - calls == kWatchers);
}

BOOST_AUTO_TEST_CASE(TicketReachesAllWhenTheStoreFallsRightAfter) {
  RelaySimulation fleet(3);
  Fill(fleet, 20, 20);
  fleet.Submit();
  fleet.SetDown(true);
  BOOST_TEST(fleet.RunUntil(1, seconds(2)).count() < 2000);
  fleet.Run(seconds(60));
  BOOST_TEST(fleet.CountWith(1) == fleet.size());
}

BOOST_DATA_TEST_CASE(HalfCutFromTheStoreStillHear, data::xrange(1, 9), seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  Fill(fleet, 16, 16);
  for (std::size_t i = 0; i < fleet.size(); i += 2) fleet.CutFromStore(i);
  fleet.Run(seconds(60));
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(1, seconds(6)).count() < 6000);
}

BOOST_AUTO_TEST_CASE(FirstRankedCutFromTheStoreAreReplaced) {
  RelaySimulation fleet(5);
  Fill(fleet, 12, 0);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.node(i).watching()) fleet.CutFromStore(i);
  }
  fleet.SetDown(true);  // Ends the answers that the watchers still had.
  fleet.Run(seconds(1));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (!fleet.node(i).watching()) continue;
    Effects ignored;
    fleet.node(i).OnStoreLost(ignored);
  }
  fleet.SetDown(false);
  fleet.Run(seconds(30));
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(1, seconds(6)).count() < 6000);
}

BOOST_AUTO_TEST_CASE(StartWithTheStoreDownServesFromPeers) {
  RelaySimulation fleet(6);
  Fill(fleet, 6, 0);
  fleet.Submit();
  fleet.Run(seconds(2));
  fleet.SetDown(true);
  fleet.seeds = {fleet.node(0).items().items().empty() ? Endpoint{}
                                                       : Endpoint{1, 1}};
  const auto late = fleet.AddBalancer();
  const auto leaf = fleet.AddSidecar(ServiceId{1});
  fleet.Run(seconds(2));
  BOOST_TEST(Raw(fleet.node(late).tickets().number()) == 1);
  BOOST_TEST(Raw(fleet.node(leaf).tickets().number()) == 1);
}

BOOST_AUTO_TEST_CASE(AloneWithTheStoreDownKnowsThatItKnowsNothing) {
  RelaySimulation fleet(7);
  fleet.SetDown(true);
  fleet.seeds = {{1, 99}};
  const auto lonely = fleet.AddBalancer();
  fleet.Run(seconds(30));
  BOOST_TEST(Raw(fleet.node(lonely).tickets().number()) == 0);
  BOOST_TEST(fleet.node(lonely).stream_count() == 0);
  BOOST_TEST(fleet.node(lonely).store_distance() == kNoStorePath);
}

BOOST_DATA_TEST_CASE(NeverBackThroughRestartsAndDoubledMessages,
                     data::xrange(1, 9), seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  fleet.doubled = 0.3;
  Fill(fleet, 8, 8);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  fleet.seeds = {{1, 1}, {1, 2}};
  for (std::uint64_t round = 1; round <= 20; ++round) {
    fleet.Submit();
    fleet.Run(milliseconds(random() % 300));
    fleet.SetDown(round % 3 == 0);
    fleet.Freeze(random() % fleet.size(), round % 2 == 0);
  }
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Freeze(i, false);
  fleet.SetDown(false);
  BOOST_TEST(fleet.RunUntil(20, seconds(20)).count() < 20'000);
  BOOST_TEST(!fleet.went_back);
}

/// All start from the same seeds and spread out.
BOOST_AUTO_TEST_CASE(FollowersSpreadOverTheTree) {
  RelaySimulation fleet(13);
  fleet.seeds = {{1, 1}, {1, 2}};
  Fill(fleet, 20, 200);
  constexpr std::size_t kMean = 2 * 220 / 20;
  std::size_t most = 0;
  for (std::size_t i = 0; i < 20; ++i) {
    most = std::max(most, fleet.node(i).stream_count());
  }
  BOOST_TEST_MESSAGE("most streams of a balancer " << most);
  BOOST_TEST(most <= 2 * kMean);
}

BOOST_AUTO_TEST_CASE(FrozenProcessDelaysNobodyElseAndCatchesUp) {
  RelaySimulation fleet(8);
  Fill(fleet, 20, 20);
  fleet.Freeze(4, true);
  fleet.Submit();
  fleet.Run(seconds(2));
  BOOST_TEST(fleet.CountWith(1) == fleet.size() - 1);
  fleet.Freeze(4, false);
  BOOST_TEST(fleet.RunUntil(1, seconds(2)).count() < 2000);
}

BOOST_AUTO_TEST_CASE(SidecarGetsItsOwnServiceOnly) {
  RelaySimulation fleet(9);
  Fill(fleet, 6, 3);
  fleet.Write(UpstreamKey(1, 11), "mine");
  fleet.Write(UpstreamKey(2, 21), "foreign");
  fleet.Write(UpstreamKey(11, 31), "foreign");
  fleet.Run(seconds(2));
  const auto& held = fleet.node(6).items().items();
  BOOST_TEST(held.size() == 1);
  BOOST_TEST(held.contains(UpstreamKey(1, 11)));
  BOOST_TEST(fleet.node(0).items().items().size() == fleet.items().size());
}

/// Every process ends with the store's items, whatever streams it had. A key
/// is erased only after its record has said "dead" for long: a process that
/// started anew doesn't know of earlier deletions, so others may keep that
/// last record.
BOOST_DATA_TEST_CASE(NoItemIsMissedWhenStreamsChange, data::xrange(1, 17),
                     seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  fleet.doubled = 0.1;
  Fill(fleet, 10, 4);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  for (int round = 0; round < 60; ++round) {
    const auto key = UpstreamKey(1, static_cast<int>(random() % 20));
    fleet.Write(key, random() % 5 == 0 ? "dead" : std::to_string(round));
    if (random() % 4 == 0) fleet.Start(random() % fleet.size());
    fleet.Run(milliseconds(random() % 400));
  }
  fleet.Run(kSettle);
  for (const auto& [key, item] : std::map(fleet.items())) {
    if (item.value == "dead") fleet.Erase(key);
    if (random() % 4 == 0) fleet.Start(random() % fleet.size());
  }
  fleet.Run(kSettle);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    std::size_t live = 0;
    for (const auto& [key, item] : fleet.node(i).items().items()) {
      if (item.value.empty() || item.value == "dead") continue;
      ++live;
      const auto found = fleet.items().find(key);
      BOOST_REQUIRE(found != fleet.items().end());
      BOOST_TEST(found->second.value == item.value);
    }
    Subscription interest;
    if (i >= 10) interest = {false, {ServiceId{1}}};
    const auto wanted = std::count_if(
        fleet.items().begin(), fleet.items().end(),
        [&](const auto& item) { return interest.Matches(item.second); });
    BOOST_TEST(live == static_cast<std::size_t>(wanted));
  }
}

BOOST_AUTO_TEST_CASE(RestartOfAllAtOnceCostsThreeCallsEach) {
  RelaySimulation fleet(10);
  Fill(fleet, 30, 30);
  const auto calls = fleet.store_calls;
  fleet.Submit();
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Start(i);
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(2, seconds(10)).count() < 10'000);
  fleet.Run(kSettle);
  BOOST_TEST(fleet.CountWith(2) == fleet.size());
  BOOST_TEST(fleet.Watchers() == kWatchers);
  BOOST_TEST_MESSAGE("store calls " << fleet.store_calls - calls);
  BOOST_TEST(fleet.store_calls - calls <= 3 * fleet.size());
}

BOOST_AUTO_TEST_CASE(OutageIsNotAnsweredByAll) {
  RelaySimulation fleet(11);
  Fill(fleet, 40, 0);
  fleet.SetDown(true);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    Effects ignored;
    fleet.node(i).OnStoreLost(ignored);
  }
  fleet.Run(seconds(120));
  BOOST_TEST_MESSAGE("watchers " << fleet.Watchers());
  BOOST_TEST(fleet.Watchers() <= 8 * kWatchers);
  fleet.SetDown(false);
  fleet.Run(kSettle);
  BOOST_TEST(fleet.Watchers() == kWatchers);
}

BOOST_AUTO_TEST_CASE(NoticedTicketIsFetchedAtOnce) {
  Node node(NodeOptions{}, TimePoint{});
  Effects effects;
  node.OnStreamUp(StreamId{1}, false, TimePoint{}, effects);
  node.OnMessage(StreamId{1}, Hello{}, TimePoint{}, effects);
  effects.Clear();
  node.OnTicketAnnounced(TicketNumber{4}, TimePoint{}, effects);
  BOOST_REQUIRE(effects.messages.size() == 1);
  BOOST_TEST(
      std::holds_alternative<TicketRequest>(effects.messages[0].message));
  effects.Clear();
  node.OnTick(TimePoint{} + seconds(4), effects);
  BOOST_TEST(effects.store.read_tickets);
}

/// A sidecar whose only parent is frozen hears of a ticket from traffic.
BOOST_AUTO_TEST_CASE(NoticedTicketIsFetchedPastAFrozenParent) {
  RelaySimulation fleet(12);
  Fill(fleet, 6, 12);
  for (std::size_t i = 0; i < 3; ++i) fleet.Freeze(i, true);
  fleet.Submit();
  fleet.Run(milliseconds(50));
  for (std::size_t i = 3; i < fleet.size(); ++i) fleet.Notice(i, 1);
  fleet.Run(milliseconds(950));
  BOOST_TEST(fleet.CountWith(1) == fleet.size() - 3);
}

BOOST_AUTO_TEST_CASE(LogRefusesGapsAndOldNumbers) {
  TicketLog log;
  LastReason<ticket::TicketError> reason;
  const auto text = [](int number) {
    return TicketText{TicketNumber(number), false,
                      "ticket: " + std::to_string(number) + "\nauthor: a\n"};
  };
  BOOST_TEST(!log.Apply(text(2), reason));
  BOOST_TEST(log.Apply(text(1), reason));
  BOOST_TEST(!log.Apply(text(1), reason));
  BOOST_TEST(log.Apply(text(2), reason));
  BOOST_TEST(reason.ok());
  auto lying = text(3);
  lying.text = "ticket: 9\nauthor: a\n";
  BOOST_TEST(!log.Apply(lying, reason));
  BOOST_TEST(!reason.ok());
  BOOST_TEST(Raw(log.number()) == 2);
}

BOOST_AUTO_TEST_CASE(MessagesSurviveTheWire) {
  const Peer peer{"b1", "callao", {0x7f000001, 7}};
  const Message messages[] = {
      Hello{peer, TicketNumber{3}, 9, {false, {ServiceId{4}}}, 2},
      Heartbeat{TicketNumber{5}, 1},
      TicketRequest{TicketNumber{6}},
      PeerList{{peer}},
      TicketText{TicketNumber{7}, true, "a: \"b\"\n\\"},
      StoreEntry{"k", "v\n", 8}};
  for (const auto& message : messages) {
    const auto line = EncodeMessage(message);
    LastReason<RelayError> reason;
    const auto read = DecodeMessage(
        std::string_view(line).substr(0, line.size() - 1), reason);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == message));
  }
}

BOOST_AUTO_TEST_CASE(ForeignMessagesAreRefused) {
  for (const auto* line : {"", "{}", "[]", "{\"t\":\"x\"}", "{\"t\":\"b\"}",
                           "{\"t\":\"ticket\",\"n\":-1}"}) {
    LastReason<RelayError> reason;
    BOOST_TEST(!DecodeMessage(line, reason).has_value(), line);
    BOOST_TEST(!reason.ok());
  }
}

}  // namespace
}  // namespace cowslip::relay
