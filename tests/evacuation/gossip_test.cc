// How evacuations spread between instances, in virtual time, and when an
// instance may act on what it knows.
#define BOOST_TEST_MODULE evacuation_gossip
#include <boost/test/unit_test.hpp>

#include "cowslip/peers.h"
#include "earlier_peers_generated.h"
#include "support/gossip_fleet.h"

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kDataCenter = "z0";
constexpr InstanceAddress kFirstSidecar = 101;

EvacuationSnapshot MakeSnapshot(std::uint64_t revision, DataCenterNames names,
                                std::uint64_t era = 1) {
  return {{era, revision}, std::move(names)};
}

PeerEntry MakeSidecar(InstanceAddress address, std::uint64_t incarnation = 1) {
  auto entry = MakeEntry(address, false, incarnation);
  entry.data_center = kDataCenter;
  return entry;
}

/// Balancers from address 1 and sidecars of kDataCenter.
struct EvacuationFleet : Fleet {
  EvacuationFleet(std::uint64_t seed, int balancers, int sidecars)
      : Fleet(seed) {
    for (int i = 1; i <= balancers; ++i) Add(MakeEntry(i, true, 1));
    for (int i = 0; i < sidecars; ++i) Add(MakeSidecar(kFirstSidecar + i));
  }

  /// The store holds this set, as a balancer reads it.
  void Store(InstanceAddress balancer, const EvacuationSnapshot& stored) {
    At(balancer).OnStoredEvacuations(stored, /*current=*/true, now());
  }
  DataCenterStatus StatusAt(InstanceAddress address) {
    return At(address).evacuations().StatusOf(kDataCenter, now());
  }
  int Count(DataCenterStatus status) {
    int count = 0;
    for (const auto& [address, gossip] : instances()) {
      count += StatusAt(address) == status;
    }
    return count;
  }
  bool IsEvacuatedEverywhere() {
    return Count(DataCenterStatus::kEvacuated) ==
           static_cast<int>(instances().size());
  }
};

bool HasStatus(EvacuationFleet& fleet, InstanceAddress address,
               DataCenterStatus status) {
  return fleet.StatusAt(address) == status;
}

/// A message of a balancer with a confirmed state.
EvacuationReport MakeReport(std::uint64_t revision, DataCenterNames names) {
  EvacuationReport report;
  report.state = MakeSnapshot(revision, std::move(names));
  report.confirmed = true;
  return report;
}

}  // namespace

BOOST_AUTO_TEST_CASE(HundredSidecarsKnowWithinASecondDespiteLoss) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EvacuationFleet fleet(seed, 8, 100);
    fleet.Run(milliseconds(300));
    fleet.Store(1, MakeSnapshot(5, {}));
    fleet.Run(seconds(1));
    fleet.SetLoss(0.3);
    fleet.Store(1, MakeSnapshot(6, {kDataCenter}));
    fleet.Run(seconds(1));
    BOOST_TEST(fleet.IsEvacuatedEverywhere(), "seed " << seed);
    fleet.Store(2, MakeSnapshot(7, {}));
    fleet.Run(seconds(1));
    BOOST_TEST(fleet.Count(DataCenterStatus::kOpen) == 108, "seed " << seed);
  }
}

// Guards against the messages of a change growing with the deployment beyond
// the budget for repairs.
BOOST_AUTO_TEST_CASE(ChangeCostsEachBalancerABoundedNumberOfMessages) {
  EvacuationFleet fleet(1, 8, 400);
  fleet.Run(seconds(2));
  fleet.Store(1, MakeSnapshot(5, {}));
  fleet.Run(seconds(2));
  fleet.ResetCounters();
  fleet.Run(seconds(1));
  const auto idle = fleet.bytes();
  fleet.ResetCounters();
  fleet.Store(1, MakeSnapshot(6, {kDataCenter}));
  fleet.Run(seconds(1));
  BOOST_TEST(fleet.IsEvacuatedEverywhere());
  // Two notices to 64 sidecars each, the broadcast, and one answer for each
  // sidecar that has not been told.
  constexpr std::uint64_t kMessage = 250;
  const std::uint64_t limit =
      8 * (2 * Gossip::kSidecarFanout + Gossip::kForwardFanout) + 2 * 400;
  BOOST_TEST_MESSAGE("bytes of a change: " << fleet.bytes() - idle);
  BOOST_TEST(fleet.bytes() - idle < limit * kMessage);
}

// A sidecar that accepted before it knew would let connections into an
// evacuated data centre right after its start.
BOOST_AUTO_TEST_CASE(StartedSidecarLearnsBeforeItIsOpen) {
  EvacuationFleet fleet(1, 4, 6);
  fleet.Run(milliseconds(300));
  BOOST_TEST(fleet.Count(DataCenterStatus::kOpen) == 0);
  fleet.Store(1, MakeSnapshot(5, {kDataCenter}));
  fleet.Run(seconds(1));
  BOOST_TEST(fleet.IsEvacuatedEverywhere());
  fleet.Add(MakeSidecar(kFirstSidecar, 2));
  BOOST_TEST(HasStatus(fleet, kFirstSidecar, DataCenterStatus::kUnknown));
  fleet.Run(milliseconds(100));
  BOOST_TEST(HasStatus(fleet, kFirstSidecar, DataCenterStatus::kEvacuated));
}

// The store is away and all balancers are replaced: sidecars are the only ones
// that know.
BOOST_AUTO_TEST_CASE(StartedInstancesLearnFromSurvivorsWithoutTheStore) {
  EvacuationFleet fleet(1, 4, 6);
  fleet.Run(milliseconds(300));
  fleet.Store(1, MakeSnapshot(5, {kDataCenter}));
  fleet.Run(seconds(1));
  for (InstanceAddress i = 1; i <= 4; ++i) fleet.Add(MakeEntry(i, true, 2));
  fleet.Add(MakeSidecar(kFirstSidecar, 2));
  for (int step = 0; step < 50; ++step) {
    fleet.Run(milliseconds(20));
    BOOST_TEST(!HasStatus(fleet, kFirstSidecar, DataCenterStatus::kOpen));
  }
  BOOST_TEST(fleet.IsEvacuatedEverywhere());
}

// Without evacuations a start takes no longer than until the store answers.
BOOST_AUTO_TEST_CASE(SidecarsOpenAsSoonAsTheStoreHasAnswered) {
  EvacuationFleet fleet(1, 4, 20);
  fleet.Run(milliseconds(500));
  BOOST_TEST(fleet.Count(DataCenterStatus::kOpen) == 0);
  fleet.Store(2, MakeSnapshot(5, {}));
  fleet.Run(milliseconds(140));
  BOOST_TEST(fleet.Count(DataCenterStatus::kOpen) == 24);
}

BOOST_AUTO_TEST_CASE(LateStoreIsToldToWaitingSidecarsAtOnce) {
  EvacuationFleet fleet(1, 4, 20);
  fleet.Run(seconds(10));
  for (InstanceAddress i = 1; i <= 4; ++i) {
    fleet.Store(i, MakeSnapshot(5, {}));
  }
  fleet.Run(milliseconds(40));
  BOOST_TEST(fleet.Count(DataCenterStatus::kOpen) == 24);
}

// What waited in the socket of a suspended sidecar is as old as what it knows.
BOOST_AUTO_TEST_CASE(ResumedSidecarWaitsForAnAnswer) {
  EvacuationExchange sidecar(/*balancer=*/false, 7);
  TimePoint now{seconds(100)};
  sidecar.OnMessage(1, true, true, MakeReport(5, {}), now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kOpen));
  now += seconds(10);
  sidecar.OnResume(now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kUnconfirmed));
  sidecar.OnMessage(1, true, true, MakeReport(5, {}), now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kUnconfirmed));
  auto answer = MakeReport(5, {});
  answer.answer = sidecar.Report(now).query;
  BOOST_TEST(answer.answer != 0U);
  auto unconfirmed = answer;
  unconfirmed.confirmed = false;
  sidecar.OnMessage(2, true, true, unconfirmed, now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kUnconfirmed));
  sidecar.OnMessage(1, true, true, answer, now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kOpen));
  BOOST_TEST(sidecar.Report(now).query == 0U);
}

// A balancer that was suspended sends a state that is newer than that of the
// sidecar and has been replaced since.
BOOST_AUTO_TEST_CASE(UnconfirmedStateDoesNotReplaceAConfirmedOne) {
  EvacuationExchange sidecar(/*balancer=*/false, 7);
  const TimePoint now{seconds(100)};
  sidecar.OnMessage(1, true, true, MakeReport(5, {"z0"}), now);
  auto outdated = MakeReport(6, {});
  outdated.confirmed = false;
  sidecar.OnMessage(2, true, true, outdated, now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kEvacuated));
  sidecar.OnMessage(1, true, true, MakeReport(6, {}), now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kOpen));
}

// Balancers of the earlier build can't tell whether a state is outdated, so
// they count only if no other one answers.
BOOST_AUTO_TEST_CASE(EarlierBuildConfirmsAStateOnlyAfterATime) {
  EvacuationExchange sidecar(/*balancer=*/false, 7);
  TimePoint now{seconds(100)};
  sidecar.OnMessage(1, true, true, MakeReport(5, {}), now);
  now += seconds(10);
  sidecar.OnResume(now);
  now += milliseconds(20);
  sidecar.OnMessage(2, true, true, std::nullopt, now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kUnconfirmed));
  now += EvacuationExchange::kConfirmTime;
  sidecar.OnMessage(2, true, true, std::nullopt, now);
  BOOST_TEST((sidecar.StatusOf("z0", now) == DataCenterStatus::kOpen));
}

// Neither the store nor another balancer can be reached: what the sidecars know
// is all there is.
BOOST_AUTO_TEST_CASE(BalancerConfirmsAloneAfterATime) {
  EvacuationExchange balancer(/*balancer=*/true, 7);
  TimePoint now{seconds(100)};
  balancer.OnMessage(101, false, false, MakeReport(5, {"z0"}), now);
  BOOST_TEST(!balancer.Report(now).confirmed);
  now += EvacuationExchange::kConfirmTime;
  BOOST_TEST(balancer.Report(now).confirmed);
  // What was asked of the store before a suspension confirms nothing after it.
  balancer.OnResume(now);
  balancer.OnStored(MakeSnapshot(7, {}), /*current=*/false, now);
  BOOST_TEST(!balancer.Report(now).confirmed);
  balancer.OnStored(MakeSnapshot(7, {}), /*current=*/true, now);
  BOOST_TEST(balancer.Report(now).confirmed);
}

// Sidecars and balancers of a data centre are suspended together, and its
// evacuation is written meanwhile.
BOOST_AUTO_TEST_CASE(SuspendedTogetherAcceptNothingOnOldKnowledge) {
  EvacuationFleet fleet(3, 4, 8);
  fleet.Run(milliseconds(300));
  fleet.Store(1, MakeSnapshot(5, {}));
  fleet.Run(seconds(1));
  // Balancers 3 and 4 and the sidecars miss the change.
  fleet.SetLoss(1);
  fleet.Store(1, MakeSnapshot(6, {kDataCenter}));
  fleet.Run(seconds(2));
  fleet.SetLoss(0);
  for (const InstanceAddress balancer : {3, 4}) {
    fleet.At(balancer).OnResume(fleet.now());
  }
  for (InstanceAddress i = 0; i < 8; ++i) {
    fleet.At(kFirstSidecar + i).OnResume(fleet.now());
  }
  for (int step = 0; step < 25; ++step) {
    for (InstanceAddress i = 0; i < 8; ++i) {
      BOOST_TEST(!HasStatus(fleet, kFirstSidecar + i, DataCenterStatus::kOpen));
    }
    fleet.Run(milliseconds(20));
  }
  BOOST_TEST(fleet.IsEvacuatedEverywhere());
}

BOOST_AUTO_TEST_CASE(ResumedSidecarOfAnOpenDataCenterIsOpenSoon) {
  EvacuationFleet fleet(1, 4, 8);
  fleet.Run(milliseconds(300));
  fleet.Store(1, MakeSnapshot(5, {}));
  fleet.Run(seconds(1));
  fleet.At(kFirstSidecar).OnResume(fleet.now());
  BOOST_TEST(HasStatus(fleet, kFirstSidecar, DataCenterStatus::kUnconfirmed));
  fleet.Run(milliseconds(100));
  BOOST_TEST(HasStatus(fleet, kFirstSidecar, DataCenterStatus::kOpen));
}

BOOST_AUTO_TEST_CASE(InstancesAreAnsweredOnceInHundredMilliseconds) {
  EvacuationExchange balancer(/*balancer=*/true, 7);
  TimePoint now{seconds(100)};
  balancer.OnStored(MakeSnapshot(6, {"z0"}), /*current=*/true, now);
  const auto outdated = MakeReport(5, {});
  const auto respond = [&] {
    return balancer.OnMessage(101, false, false, outdated, now);
  };
  BOOST_TEST((respond() == EvacuationResponse::kState));
  now += milliseconds(99);
  BOOST_TEST((respond() == EvacuationResponse::kNone));
  now += milliseconds(1);
  BOOST_TEST((respond() == EvacuationResponse::kState));
  // Equal sets at another position need no answer, unless they were different
  // in between.
  now += seconds(1);
  BOOST_TEST((balancer.OnMessage(102, false, false, MakeReport(4, {"z0"}),
                                 now) == EvacuationResponse::kNone));
  balancer.OnStored(MakeSnapshot(8, {}), /*current=*/true, now);
  balancer.OnStored(MakeSnapshot(9, {"z0"}), /*current=*/true, now);
  BOOST_TEST((balancer.OnMessage(102, false, false, MakeReport(4, {"z0"}),
                                 now) == EvacuationResponse::kState));
  balancer.OnStored(MakeSnapshot(12, {"z0"}), /*current=*/true, now);
  BOOST_TEST((balancer.OnMessage(103, false, false, MakeReport(9, {"z0"}),
                                 now) == EvacuationResponse::kNone));
}

BOOST_AUTO_TEST_CASE(AnswersHaveABudget) {
  EvacuationExchange balancer(/*balancer=*/true, 7);
  const TimePoint now{seconds(100)};
  balancer.OnStored(MakeSnapshot(6, {"z0"}), /*current=*/true, now);
  int answers = 0;
  for (InstanceAddress sidecar = 1; sidecar <= 5000; ++sidecar) {
    answers += balancer.OnMessage(sidecar, false, false, MakeReport(5, {}),
                                  now) == EvacuationResponse::kState;
  }
  BOOST_TEST(answers == 400);
}

// All balancers are of the build before: it has no evacuations, so sidecars
// must not wait for a state.
BOOST_AUTO_TEST_CASE(SidecarOpensAmongBalancersOfTheEarlierBuild) {
  EvacuationFleet fleet(1, 4, 6);
  for (InstanceAddress i = 1; i <= 4; ++i) fleet.MakeEarlierBuild(i);
  fleet.Run(milliseconds(300));
  // They have no configuration yet.
  BOOST_TEST(HasStatus(fleet, kFirstSidecar, DataCenterStatus::kUnknown));
  for (InstanceAddress i = 1; i <= 4; ++i) {
    fleet.At(i).SetConfig({.number = 3}, /*watching=*/true);
  }
  fleet.Add(MakeSidecar(kFirstSidecar, 2));
  fleet.Run(milliseconds(60));
  BOOST_TEST(HasStatus(fleet, kFirstSidecar, DataCenterStatus::kOpen));
  // After a suspension, their answer to a hello message counts.
  fleet.At(kFirstSidecar).OnResume(fleet.now());
  BOOST_TEST(!HasStatus(fleet, kFirstSidecar, DataCenterStatus::kOpen));
  fleet.Run(seconds(1));
  BOOST_TEST(HasStatus(fleet, kFirstSidecar, DataCenterStatus::kOpen));
}

// One balancer is of the new build: its state overrules the silence of others.
BOOST_AUTO_TEST_CASE(StateOverrulesMessagesOfTheEarlierBuild) {
  EvacuationFleet fleet(1, 4, 6);
  for (InstanceAddress i = 2; i <= 4; ++i) {
    fleet.MakeEarlierBuild(i);
    fleet.At(i).SetConfig({.number = 3}, /*watching=*/true);
  }
  fleet.Run(milliseconds(300));
  fleet.Store(1, MakeSnapshot(6, {kDataCenter}));
  fleet.Run(seconds(2));
  for (InstanceAddress i = 0; i < 6; ++i) {
    BOOST_TEST(
        HasStatus(fleet, kFirstSidecar + i, DataCenterStatus::kEvacuated));
  }
}

// Sidecars of the earlier build are members as before.
BOOST_AUTO_TEST_CASE(EarlierBuildsExchangeEntriesAsBefore) {
  EvacuationFleet fleet(1, 4, 6);
  for (const InstanceAddress each : {2, 102, 103}) fleet.MakeEarlierBuild(each);
  fleet.Run(milliseconds(300));
  fleet.Store(1, MakeSnapshot(6, {kDataCenter}));
  fleet.At(102).SetOpen(true, 7, fleet.now());
  fleet.Run(seconds(1));
  for (InstanceAddress i = 1; i <= 4; ++i) {
    BOOST_TEST(fleet.At(i).table().entries().size() == 10U);
    BOOST_TEST(fleet.At(i).table().Find(102)->accepts);
  }
}

// The last build before evacuations must read messages that carry them, and its
// receive buffer holds 2,048 bytes.
BOOST_AUTO_TEST_CASE(EarlierBuildReadsMessages) {
  auto entry = MakeSidecar(kFirstSidecar);
  entry.data_center = "lima-ate-2";
  entry.service = "custody-archive";
  Gossip gossip(MakeEntry(1, true, 1), 1);
  DataCenterNames names;
  for (int i = 0; i < 20; ++i) {
    names.insert("data-centre-" + std::to_string(100 + i));
  }
  gossip.OnStoredEvacuations(MakeSnapshot(6, names), /*current=*/true,
                             TimePoint{seconds(100)});
  gossip.SetSeeds({2});
  gossip.OnTick(TimePoint{seconds(101)});
  const auto outgoing = gossip.TakeOutgoing();
  BOOST_REQUIRE(!outgoing.empty());
  auto message = outgoing.front().message;
  BOOST_TEST(!message.evacuations->names_omitted);
  message.config = {.number = 9, .era = 2, .digest = 11};
  message.entries.assign(kMaxEntries, entry);
  const auto datagram = Encode(message);
  BOOST_TEST_MESSAGE("longest usual message: " << datagram.size() << " bytes");
  BOOST_TEST(datagram.size() <= 2048U);
  constexpr std::size_t kPrefix = 8;
  std::vector<std::uint64_t> aligned((datagram.size() + 7) / 8);
  std::memcpy(aligned.data(), datagram.data() + kPrefix,
              datagram.size() - kPrefix);
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, datagram.size() - kPrefix);
  BOOST_REQUIRE(earlier::VerifyMessageBuffer(verifier));
  const auto* read = earlier::GetMessage(bytes);
  BOOST_TEST(read->sender() == 1U);
  BOOST_TEST(read->config() == 9U);
  BOOST_TEST(read->config_digest() == 11U);
  BOOST_TEST(read->entries()->size() == kMaxEntries);
  BOOST_TEST(read->entries()->Get(3)->data_center()->str() == "lima-ate-2");
}

// A message of the last build before evacuations is read, without a state.
BOOST_AUTO_TEST_CASE(MessagesOfEarlierBuildAreRead) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(earlier::CreateMessage(builder, 7, /*balancer=*/true,
                                        /*config=*/4));
  Bytes datagram{'C', 'W', 'G', '1', 0, 0, 0, 0};
  datagram.insert(datagram.end(), builder.GetBufferPointer(),
                  builder.GetBufferPointer() + builder.GetSize());
  const auto message = Decode(datagram);
  BOOST_REQUIRE(message.has_value());
  BOOST_TEST(message->sender == 7U);
  BOOST_TEST(message->config.number == 4U);
  BOOST_TEST(!message->evacuations.has_value());
}

BOOST_AUTO_TEST_CASE(ReportIsReadAsItWasWritten) {
  Message message;
  EvacuationReport report;
  report.state = MakeSnapshot(8, {"z0", "z1"}, 3);
  report.held = {{2, 99}, {"z2"}};
  report.hold_left = milliseconds(1234);
  report.age = milliseconds(56);
  report.confirmed = true;
  report.query = 5;
  report.answer = 6;
  message.evacuations = report;
  auto read = Decode(Encode(message));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->evacuations == report));
  message.evacuations->state->names.insert(std::string(201, 'x'));
  BOOST_TEST(!Decode(Encode(message)).has_value());
  message.evacuations = EvacuationReport{};
  read = Decode(Encode(message));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->evacuations->state.has_value());
}

// Every heartbeat carries the state, so its size counts in idle traffic.
BOOST_AUTO_TEST_CASE(StateAddsFewBytesToAMessage) {
  const auto size = [](const std::optional<EvacuationReport>& report) {
    Message message;
    message.sender = 1;
    message.evacuations = report;
    return Encode(message).size();
  };
  const auto without = size(std::nullopt);
  auto report = MakeReport(1'000'000, {});
  report.age = std::chrono::hours(1);
  const auto empty = size(report) - without;
  report.state->names = {"lima-ate-1", "lima-ate-2"};
  const auto two = size(report) - without;
  BOOST_TEST_MESSAGE(
      "bytes of an empty state: " << empty << ", with two names: " << two);
  BOOST_TEST(empty <= 100U);
  BOOST_TEST(two <= 180U);
  while (report.state->names.size() < EvacuationSnapshot::kMaxNames) {
    report.state->names.insert(std::string(190, 'n') +
                               std::to_string(report.state->names.size()));
  }
  report.held = {{0, 9}, report.state->names};
  BOOST_TEST_MESSAGE("longest message: " << size(report));
  BOOST_TEST(size(report) <= 32768U);
}

// Names that don't fit into each message are asked for.
BOOST_AUTO_TEST_CASE(ManyLongNamesSpread) {
  EvacuationFleet fleet(1, 4, 6);
  fleet.Run(milliseconds(300));
  DataCenterNames names{kDataCenter};
  while (names.size() < EvacuationSnapshot::kMaxNames) {
    names.insert(std::string(190, 'n') + std::to_string(names.size()));
  }
  fleet.Store(1, MakeSnapshot(6, names));
  fleet.Run(seconds(1));
  BOOST_TEST(fleet.IsEvacuatedEverywhere());
  for (const auto& [address, gossip] : fleet.instances()) {
    BOOST_TEST((gossip->evacuations().state().present().names == names));
  }
  // Equal names at new positions of the store aren't sent again.
  fleet.ResetCounters();
  for (std::uint64_t revision = 7; revision < 17; ++revision) {
    fleet.Store(1, MakeSnapshot(revision, names));
    fleet.Run(milliseconds(300));
  }
  BOOST_TEST(fleet.largest_burst() < 5000U);
}

}  // namespace cowslip::peers
