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
constexpr seconds kSettleTime{20};

std::string UpstreamKey(int service, int id) {
  return "cowslip/upstreams/" + std::to_string(service) + "/" +
         std::to_string(id);
}

void AddMembers(RelaySimulation& fleet, std::size_t balancers,
                std::size_t sidecars) {
  for (std::size_t i = 0; i < balancers; ++i) fleet.AddBalancer();
  for (std::size_t i = 0; i < sidecars; ++i) fleet.AddSidecar(ServiceId{1});
  fleet.Run(kSettleTime);
}

BOOST_DATA_TEST_CASE(NumberOfWatchersDoesNotDependOnFleetSize,
                     data::make({4, 12, 40}) * data::make({1, 2}), size, seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  const auto count = static_cast<std::size_t>(size);
  AddMembers(fleet, count, count);
  BOOST_TEST(fleet.Watchers() == kWatchers);
  const auto calls_before = fleet.store_calls;
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(1, seconds(2)).count() < 2000);
  BOOST_TEST(fleet.store_calls - calls_before == kWatchers);
}

BOOST_AUTO_TEST_CASE(TicketReachesAllIfTheStoreFailsRightAfter) {
  RelaySimulation fleet(3);
  AddMembers(fleet, 20, 20);
  fleet.Submit();
  fleet.SetStoreDown(true);
  BOOST_TEST(fleet.RunUntil(1, seconds(2)).count() < 2000);
  fleet.Run(seconds(60));
  BOOST_TEST(fleet.CountWithTicket(1) == fleet.size());
}

BOOST_DATA_TEST_CASE(NodesWithoutStoreAccessReceiveTickets, data::xrange(1, 9),
                     seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  AddMembers(fleet, 16, 16);
  for (std::size_t i = 0; i < fleet.size(); i += 2) fleet.CutFromStore(i);
  fleet.Run(seconds(60));
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(1, seconds(6)).count() < 6000);
}

BOOST_AUTO_TEST_CASE(WatchersWithoutStoreAccessAreReplaced) {
  RelaySimulation fleet(5);
  AddMembers(fleet, 12, 0);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.node(i).watching()) fleet.CutFromStore(i);
  }
  fleet.SetStoreDown(true);  // Ends the watchers' running reads.
  fleet.Run(seconds(1));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (!fleet.node(i).watching()) continue;
    Effects ignored;
    fleet.node(i).OnStoreLost(ignored);
  }
  fleet.SetStoreDown(false);
  fleet.Run(seconds(30));
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(1, seconds(6)).count() < 6000);
}

BOOST_AUTO_TEST_CASE(NodeStartedInAStoreOutageReceivesTicketsFromPeers) {
  RelaySimulation fleet(6);
  AddMembers(fleet, 6, 0);
  fleet.Submit();
  fleet.Run(seconds(2));
  fleet.SetStoreDown(true);
  fleet.seeds = {fleet.node(0).items().items().empty() ? Endpoint{}
                                                       : Endpoint{1, 1}};
  const auto late = fleet.AddBalancer();
  const auto leaf = fleet.AddSidecar(ServiceId{1});
  fleet.Run(seconds(2));
  BOOST_TEST(Raw(fleet.node(late).tickets().number()) == 1);
  BOOST_TEST(Raw(fleet.node(leaf).tickets().number()) == 1);
}

BOOST_AUTO_TEST_CASE(NodeWithoutPeersAndStoreReportsNoStorePath) {
  RelaySimulation fleet(7);
  fleet.SetStoreDown(true);
  fleet.seeds = {{1, 99}};
  const auto isolated = fleet.AddBalancer();
  fleet.Run(seconds(30));
  BOOST_TEST(Raw(fleet.node(isolated).tickets().number()) == 0);
  BOOST_TEST(fleet.node(isolated).stream_count() == 0);
  BOOST_TEST(fleet.node(isolated).store_distance() == kNoStorePath);
}

/// Store outages, paused nodes and duplicate messages must not take a node back
/// to an older ticket.
BOOST_DATA_TEST_CASE(TicketNumberNeverDecreases, data::xrange(1, 9), seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  fleet.duplicate_share = 0.3;
  AddMembers(fleet, 8, 8);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  fleet.seeds = {{1, 1}, {1, 2}};
  for (std::uint64_t round = 1; round <= 20; ++round) {
    fleet.Submit();
    fleet.Run(milliseconds(random() % 300));
    fleet.SetStoreDown(round % 3 == 0);
    fleet.Pause(random() % fleet.size(), round % 2 == 0);
  }
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Pause(i, false);
  fleet.SetStoreDown(false);
  BOOST_TEST(fleet.RunUntil(20, seconds(20)).count() < 20'000);
  BOOST_TEST(!fleet.ticket_decreased);
}

/// All nodes start with the same two seeds and must spread over the balancers.
BOOST_AUTO_TEST_CASE(StreamsSpreadOverTheTree) {
  RelaySimulation fleet(13);
  fleet.seeds = {{1, 1}, {1, 2}};
  AddMembers(fleet, 20, 200);
  constexpr std::size_t kMean = 2 * 220 / 20;
  std::size_t max_streams = 0;
  for (std::size_t i = 0; i < 20; ++i) {
    max_streams = std::max(max_streams, fleet.node(i).stream_count());
  }
  BOOST_TEST_MESSAGE("most streams of one balancer " << max_streams);
  BOOST_TEST(max_streams <= 2 * kMean);
}

BOOST_AUTO_TEST_CASE(PausedNodeDelaysNoOtherAndCatchesUp) {
  RelaySimulation fleet(8);
  AddMembers(fleet, 20, 20);
  fleet.Pause(4, true);
  fleet.Submit();
  fleet.Run(seconds(2));
  BOOST_TEST(fleet.CountWithTicket(1) == fleet.size() - 1);
  fleet.Pause(4, false);
  BOOST_TEST(fleet.RunUntil(1, seconds(2)).count() < 2000);
}

BOOST_AUTO_TEST_CASE(SidecarReceivesItsOwnServiceOnly) {
  RelaySimulation fleet(9);
  AddMembers(fleet, 6, 3);
  fleet.Write(UpstreamKey(1, 11), "mine");
  fleet.Write(UpstreamKey(2, 21), "foreign");
  fleet.Write(UpstreamKey(11, 31), "foreign");
  fleet.Run(seconds(2));
  const auto& held = fleet.node(6).items().items();
  BOOST_TEST(held.size() == 1);
  BOOST_TEST(held.contains(UpstreamKey(1, 11)));
  BOOST_TEST(fleet.node(0).items().items().size() == fleet.items().size());
}

/// Every node ends with the entries of the store, whatever streams it had. A
/// key is erased only a long time after its record was marked "dead": a
/// restarted node has no record of earlier deletions, so other nodes may keep
/// that last record.
BOOST_DATA_TEST_CASE(NoEntryIsMissedWhenStreamsChange, data::xrange(1, 17),
                     seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  fleet.duplicate_share = 0.1;
  AddMembers(fleet, 10, 4);
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  for (int round = 0; round < 60; ++round) {
    const auto key = UpstreamKey(1, static_cast<int>(random() % 20));
    fleet.Write(key, random() % 5 == 0 ? "dead" : std::to_string(round));
    if (random() % 4 == 0) fleet.Start(random() % fleet.size());
    fleet.Run(milliseconds(random() % 400));
  }
  fleet.Run(kSettleTime);
  for (const auto& [key, entry] : std::map(fleet.items())) {
    if (entry.value == "dead") fleet.Erase(key);
    if (random() % 4 == 0) fleet.Start(random() % fleet.size());
  }
  fleet.Run(kSettleTime);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    std::size_t live = 0;
    for (const auto& [key, entry] : fleet.node(i).items().items()) {
      if (entry.value.empty() || entry.value == "dead") continue;
      ++live;
      const auto found = fleet.items().find(key);
      BOOST_REQUIRE(found != fleet.items().end());
      BOOST_TEST(found->second.value == entry.value);
    }
    Subscription interest;
    if (i >= 10) interest = {false, {ServiceId{1}}};
    const auto wanted = std::count_if(
        fleet.items().begin(), fleet.items().end(),
        [&](const auto& entry) { return interest.Matches(entry.second); });
    BOOST_TEST(live == static_cast<std::size_t>(wanted));
  }
}

BOOST_AUTO_TEST_CASE(SimultaneousRestartTakesThreeStoreCallsEach) {
  RelaySimulation fleet(10);
  AddMembers(fleet, 30, 30);
  const auto calls_before = fleet.store_calls;
  fleet.Submit();
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Start(i);
  fleet.Submit();
  BOOST_TEST(fleet.RunUntil(2, seconds(10)).count() < 10'000);
  fleet.Run(kSettleTime);
  BOOST_TEST(fleet.CountWithTicket(2) == fleet.size());
  BOOST_TEST(fleet.Watchers() == kWatchers);
  BOOST_TEST_MESSAGE("store calls " << fleet.store_calls - calls_before);
  BOOST_TEST(fleet.store_calls - calls_before <= 3 * fleet.size());
}

BOOST_AUTO_TEST_CASE(FewNodesWatchDuringAStoreOutage) {
  RelaySimulation fleet(11);
  AddMembers(fleet, 40, 0);
  fleet.SetStoreDown(true);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    Effects ignored;
    fleet.node(i).OnStoreLost(ignored);
  }
  fleet.Run(seconds(120));
  BOOST_TEST_MESSAGE("watchers " << fleet.Watchers());
  BOOST_TEST(fleet.Watchers() <= 8 * kWatchers);
  fleet.SetStoreDown(false);
  fleet.Run(kSettleTime);
  BOOST_TEST(fleet.Watchers() == kWatchers);
}

BOOST_AUTO_TEST_CASE(NoticedTicketIsRequestedAtOnce) {
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

/// The parents of some nodes are paused, so that only data frames carry the
/// number of a new ticket to them.
BOOST_AUTO_TEST_CASE(NoticedTicketArrivesDespitePausedParents) {
  RelaySimulation fleet(12);
  AddMembers(fleet, 6, 12);
  for (std::size_t i = 0; i < 3; ++i) fleet.Pause(i, true);
  fleet.Submit();
  fleet.Run(milliseconds(50));
  for (std::size_t i = 3; i < fleet.size(); ++i) fleet.Notice(i, 1);
  fleet.Run(milliseconds(950));
  BOOST_TEST(fleet.CountWithTicket(1) == fleet.size() - 3);
}

// The second writing gets an index that is not above that of the lost one.
BOOST_AUTO_TEST_CASE(EntryIsNotHiddenByOneThatTheStoreHasLost) {
  RelaySimulation fleet(7);
  AddMembers(fleet, 10, 0);
  const auto key = UpstreamKey(1, 1);
  fleet.Write(key, "kept");
  fleet.Run(seconds(2));
  const auto copy = fleet.CopyStore();
  for (int i = 0; i < 5; ++i) fleet.Write(key, "lost");
  fleet.Run(seconds(2));
  fleet.RestoreStore(copy);
  fleet.Run(seconds(2));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    BOOST_TEST(fleet.node(i).items().items().at(key).value == "kept");
  }
  fleet.Write(key, "again");
  fleet.Run(seconds(2));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    BOOST_TEST(fleet.node(i).items().items().at(key).value == "again");
  }
}

// The copy is older than the start of the balancer.
BOOST_AUTO_TEST_CASE(LostInstanceRecordIsWrittenAgain) {
  RelaySimulation fleet(15);
  AddMembers(fleet, 6, 0);
  const auto copy = fleet.CopyStore();
  const auto late = fleet.AddBalancer();
  fleet.Run(kSettleTime);
  const auto key =
      InstanceKey({"b" + std::to_string(late), "callao", Endpoint{}});
  BOOST_REQUIRE(fleet.items().contains(key));
  fleet.RestoreStore(copy);
  BOOST_REQUIRE(!fleet.items().contains(key));
  fleet.Run(seconds(15));
  BOOST_TEST(fleet.items().contains(key));
  const auto calls_before = fleet.store_calls;
  fleet.Run(seconds(60));
  BOOST_TEST(fleet.store_calls == calls_before);
}

// Random writes, returns from copies, outages, restarts and duplicates.
BOOST_DATA_TEST_CASE(NodesAgreeWithARestoredStore, data::xrange(1, 31), seed) {
  RelaySimulation fleet(static_cast<std::uint64_t>(seed));
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  fleet.duplicate_share = 0.1;
  AddMembers(fleet, 8, 0);
  auto copy = fleet.CopyStore();
  for (int step = 0; step < 60; ++step) {
    switch (random() % 8) {
      case 0:
        copy = fleet.CopyStore();
        break;
      case 1:
        fleet.RestoreStore(copy);
        break;
      case 2:
        fleet.SetStoreDown(!fleet.store_down);
        break;
      case 3:
        fleet.Start(random() % fleet.size());
        break;
      case 4:
        fleet.Erase(UpstreamKey(1, static_cast<int>(random() % 5)));
        break;
      default:
        fleet.Write(UpstreamKey(1, static_cast<int>(random() % 5)),
                    std::to_string(step));
    }
    fleet.Run(milliseconds(random() % 1500));
  }
  fleet.SetStoreDown(false);
  fleet.Run(seconds(10));
  fleet.Write(UpstreamKey(1, 9), "last");
  fleet.Run(seconds(5));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    BOOST_TEST(fleet.HasContentsOfStore(i), "seed " << seed << " node " << i);
  }
}

BOOST_AUTO_TEST_CASE(LogRejectsGapsAndOldNumbers) {
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
  auto mismatched = text(3);
  mismatched.text = "ticket: 9\nauthor: a\n";
  BOOST_TEST(!log.Apply(mismatched, reason));
  BOOST_TEST(!reason.ok());
  BOOST_TEST(Raw(log.number()) == 2);
}

BOOST_AUTO_TEST_CASE(MessagesDecodeToTheirOriginals) {
  const Peer peer{"b1", "callao", {0x7f000001, 7}};
  const Message messages[] = {
      Hello{peer, {4, TicketNumber{3}}, {1, 9}, {false, {ServiceId{4}}}, 2},
      Heartbeat{{2, TicketNumber{5}}, 1},
      TicketRequest{{1, TicketNumber{6}}},
      PeerList{{peer}},
      TicketText{TicketNumber{7}, true, "a: \"b\"\n\\", 3},
      StoreEntry{"k", "v\n", {2, 8}}};
  for (const auto& message : messages) {
    const auto line = EncodeMessage(message);
    LastReason<RelayError> reason;
    const auto read = DecodeMessage(
        std::string_view(line).substr(0, line.size() - 1), reason);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == message));
  }
}

BOOST_AUTO_TEST_CASE(EntryOfABuildWithoutErasIsOfEraZero) {
  LastReason<RelayError> reason;
  const auto message =
      DecodeMessage(R"({"t":"item","k":"a","v":"b","x":5})", reason);
  BOOST_REQUIRE(message.has_value());
  BOOST_TEST((*message == Message{StoreEntry{"a", "b", {0, 5}}}));
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreRejected) {
  for (const auto* line : {"", "{}", "[]", "{\"t\":\"x\"}", "{\"t\":\"b\"}",
                           "{\"t\":\"ticket\",\"n\":-1}"}) {
    LastReason<RelayError> reason;
    BOOST_TEST(!DecodeMessage(line, reason).has_value(), line);
    BOOST_TEST(!reason.ok());
  }
}

}  // namespace
}  // namespace cowslip::relay
