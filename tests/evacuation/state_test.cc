// Which data centres count as evacuated, whatever order the states of the store
// arrive in, and after the store has come back from an older copy.
#define BOOST_TEST_MODULE evacuation_state
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

#include "cowslip/peers.h"

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

EvacuationSnapshot MakeSnapshot(std::uint64_t era, std::uint64_t revision,
                                DataCenterNames names) {
  return {{era, revision}, std::move(names)};
}

std::string KeyOf(const std::string& name) { return "op/evacuate/" + name; }

}  // namespace

BOOST_AUTO_TEST_CASE(NothingIsKnownBeforeTheFirstState) {
  EvacuationState state;
  BOOST_TEST(!state.known());
  BOOST_TEST(!state.Report(kStart).state.has_value());
  state.OnStored(MakeSnapshot(1, 5, {}), kStart);
  BOOST_TEST(state.known());
  BOOST_TEST(!state.IsEvacuated("z0", kStart));
}

// Guards against an older state that arrives late and reverts a newer one.
BOOST_AUTO_TEST_CASE(OlderPositionNeverReplacesANewerOne) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 300; ++round) {
    std::vector<EvacuationSnapshot> history;
    DataCenterNames names;
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
      const auto name = "z" + std::to_string(random() % 4);
      if (names.erase(name) == 0) names.insert(name);
      history.push_back(MakeSnapshot(1, revision, names));
    }
    auto arrivals = history;
    std::shuffle(arrivals.begin(), arrivals.end(), random);
    EvacuationState state;
    StorePosition newest;
    for (const auto& arrival : arrivals) {
      if (random() % 2 == 0) {
        state.OnStored(arrival, kStart);
      } else {
        EvacuationReport report;
        report.state = arrival;
        state.OnReport(report, kStart);
      }
      newest = std::max(newest, arrival.position);
      BOOST_TEST((state.present() == history[newest.revision - 1]));
    }
  }
}

// Two instances that exchange states in any order end with the same one.
BOOST_AUTO_TEST_CASE(StatesConvergeAcrossEras) {
  std::mt19937_64 random(11);
  for (int round = 0; round < 300; ++round) {
    std::vector<EvacuationSnapshot> history;
    for (std::uint64_t era = 1; era <= 3; ++era) {
      for (std::uint64_t revision = 1; revision <= 4; ++revision) {
        DataCenterNames names;
        for (int i = 0; i < 3; ++i) {
          if (random() % 2 == 0) names.insert("z" + std::to_string(i));
        }
        history.push_back(MakeSnapshot(era, revision, names));
      }
    }
    EvacuationState first;
    EvacuationState second;
    auto now = kStart;
    for (int step = 0; step < 30; ++step) {
      now += milliseconds(10);
      auto& receiver = random() % 2 == 0 ? first : second;
      receiver.OnStored(history[random() % history.size()], now);
    }
    first.OnStored(history.back(), now);
    for (int exchange = 0; exchange < 2; ++exchange) {
      second.OnReport(first.Report(now), now);
      first.OnReport(second.Report(now), now);
    }
    BOOST_TEST((first.present() == history.back()));
    BOOST_TEST((second.present() == history.back()));
    // What is held from an earlier era ends for both at the same time.
    now += EvacuationState::kHoldTime;
    BOOST_TEST((first.InForce(now) == history.back().names));
    BOOST_TEST((second.InForce(now) == history.back().names));
  }
}

// Guards against connections to an evacuated data centre because the store has
// lost the evacuation: operators write it again within seconds.
BOOST_AUTO_TEST_CASE(MissingInALaterEraStaysInForceThirtySeconds) {
  EvacuationState state;
  state.OnStored(MakeSnapshot(1, 50, {"z0", "z1"}), kStart);
  const auto returned = kStart + seconds(5);
  state.OnStored(MakeSnapshot(2, 40, {"z1"}), returned);
  BOOST_TEST(state.IsEvacuated("z0", returned));
  // Later reads of the same era don't prolong it.
  state.OnStored(MakeSnapshot(2, 45, {"z1"}), returned + seconds(20));
  BOOST_TEST(state.IsEvacuated("z0", returned + milliseconds(29999)));
  BOOST_TEST(!state.IsEvacuated("z0", returned + seconds(30)));
  BOOST_TEST(state.IsEvacuated("z1", returned + seconds(30)));
}

// Guards against a data centre that stays evacuated although operators have
// written it again and taken it back in the new era.
BOOST_AUTO_TEST_CASE(TakenBackInTheLaterEraIsNotHeld) {
  EvacuationState state;
  state.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  state.OnStored(MakeSnapshot(2, 40, {}), kStart + seconds(1));
  state.OnStored(MakeSnapshot(2, 41, {"z0"}), kStart + seconds(2));
  state.OnStored(MakeSnapshot(2, 42, {}), kStart + seconds(3));
  BOOST_TEST(!state.IsEvacuated("z0", kStart + seconds(3)));
  // Neither a late message of that era nor one of the era before changes it.
  state.OnStored(MakeSnapshot(2, 41, {"z0"}), kStart + seconds(4));
  state.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart + seconds(4));
  BOOST_TEST(!state.IsEvacuated("z0", kStart + seconds(4)));
}

BOOST_AUTO_TEST_CASE(PresentAgainIsInForceUntilTakenBackAgain) {
  EvacuationState state;
  state.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  state.OnStored(MakeSnapshot(1, 60, {}), kStart + seconds(1));
  state.OnStored(MakeSnapshot(2, 55, {"z0"}), kStart + seconds(2));
  BOOST_TEST(state.IsEvacuated("z0", kStart + seconds(120)));
  state.OnStored(MakeSnapshot(2, 56, {}), kStart + seconds(121));
  BOOST_TEST(!state.IsEvacuated("z0", kStart + seconds(121)));
}

// An instance that starts after the return knows of no earlier era; those that
// do tell it what they hold, with the time that is left.
BOOST_AUTO_TEST_CASE(StartedInstanceHoldsWhatOthersHold) {
  EvacuationState survivor;
  survivor.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  survivor.OnStored(MakeSnapshot(2, 40, {}), kStart + seconds(1));
  const auto started = kStart + seconds(11);
  EvacuationState state;
  state.OnStored(MakeSnapshot(2, 44, {}), started);
  BOOST_TEST(survivor.Surpasses(state.Report(started), started));
  state.OnReport(survivor.Report(started), started);
  BOOST_TEST(state.IsEvacuated("z0", started));
  BOOST_TEST(state.IsEvacuated("z0", kStart + milliseconds(30999)));
  BOOST_TEST(!state.IsEvacuated("z0", kStart + seconds(31)));
}

// An instance that was away for the hold of the others doesn't begin its own.
BOOST_AUTO_TEST_CASE(HoldIsNotRepeatedByLateInstances) {
  EvacuationState informed;
  informed.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  informed.OnStored(MakeSnapshot(2, 40, {}), kStart + seconds(1));
  EvacuationState late;
  late.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  const auto now = kStart + seconds(40);
  informed.OnReport(late.Report(now), now);
  late.OnReport(informed.Report(now), now);
  BOOST_TEST(!informed.IsEvacuated("z0", now));
  BOOST_TEST(!late.IsEvacuated("z0", now));
}

// An instance with the last state before the return knows better than one that
// had missed it.
BOOST_AUTO_TEST_CASE(NewestStateBeforeTheReturnDecidesWhatIsHeld) {
  EvacuationState state;
  state.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  state.OnStored(MakeSnapshot(2, 40, {}), kStart + seconds(1));
  EvacuationReport report;
  report.state = MakeSnapshot(1, 60, {"z1"});
  state.OnReport(report, kStart + seconds(2));
  BOOST_TEST(!state.IsEvacuated("z0", kStart + seconds(2)));
  BOOST_TEST(state.IsEvacuated("z1", kStart + seconds(2)));
}

BOOST_AUTO_TEST_CASE(ChangesAreReportedOnceWithTheirAge) {
  EvacuationState state;
  state.OnStored(MakeSnapshot(1, 5, {}), kStart);
  BOOST_TEST(state.TakeChanges(kStart).empty());
  EvacuationReport report;
  report.state = MakeSnapshot(1, 6, {"z0"});
  report.age = milliseconds(40);
  state.OnReport(report, kStart);
  const auto changes = state.TakeChanges(kStart);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].data_center == "z0");
  BOOST_TEST(changes[0].evacuated);
  BOOST_TEST((changes[0].age == milliseconds(40)));
  BOOST_TEST((changes[0].position == StorePosition{1, 6}));
  BOOST_TEST(state.TakeChanges(kStart).empty());
  // The age keeps counting while the position moves on.
  state.OnStored(MakeSnapshot(1, 9, {"z0"}), kStart + seconds(1));
  BOOST_TEST((state.Report(kStart + seconds(1)).age == milliseconds(1040)));
}

BOOST_AUTO_TEST_CASE(PagesOfAListMakeOneState) {
  StoredEvacuations stored;
  stored.BeginList();
  BOOST_TEST((stored.OnListed("op/config") == StoredKeyResult::kOther));
  stored.OnListed(KeyOf("z0"));
  BOOST_TEST(!stored.known());
  stored.OnListed(KeyOf("z1"));
  stored.EndList({1, 100});
  BOOST_TEST((stored.snapshot() == MakeSnapshot(1, 100, {"z0", "z1"})));
  // The watch repeats what changed between the pages.
  stored.OnChange(KeyOf("z0"), /*removed=*/true, {1, 103});
  BOOST_TEST((stored.snapshot() == MakeSnapshot(1, 103, {"z1"})));
}

// Guards against a change that is applied although a later list includes it:
// the data centre was taken back between the two.
BOOST_AUTO_TEST_CASE(ListAndWatchOfOneTimeAreInOrder) {
  StoredEvacuations stored;
  stored.BeginList();
  stored.EndList({1, 110});
  stored.OnChange(KeyOf("z0"), /*removed=*/false, {1, 108});
  BOOST_TEST(stored.snapshot().names.empty());
  stored.OnChange(KeyOf("z1"), /*removed=*/false, {1, 120});
  // A list that was sent before that change and answered after it.
  stored.BeginList();
  stored.EndList({1, 115});
  BOOST_TEST((stored.snapshot() == MakeSnapshot(1, 120, {"z1"})));
  stored.BeginList();
  stored.EndList({2, 90});
  BOOST_TEST((stored.snapshot() == MakeSnapshot(2, 90, {})));
}

BOOST_AUTO_TEST_CASE(NamesBeyondTheLimitsAreRefused) {
  StoredEvacuations stored;
  stored.BeginList();
  stored.EndList({1, 1});
  const std::string longest(200, 'x');
  BOOST_TEST((stored.OnChange(KeyOf(longest), false, {1, 2}) ==
              StoredKeyResult::kApplied));
  for (const auto& invalid : {std::string(), longest + "x"}) {
    BOOST_TEST((stored.OnChange(KeyOf(invalid), false, {1, 3}) ==
                StoredKeyResult::kRefused));
  }
  for (std::uint64_t i = 0; i < 63; ++i) {
    BOOST_TEST((stored.OnChange(KeyOf("z" + std::to_string(i)), false,
                                {1, 10 + i}) == StoredKeyResult::kApplied));
  }
  BOOST_TEST((stored.OnChange(KeyOf("late"), false, {1, 100}) ==
              StoredKeyResult::kRefused));
  BOOST_TEST(stored.snapshot().names.size() == 64U);
  BOOST_TEST(!stored.needs_list());
  // With room again, a list finds the refused one.
  stored.OnChange(KeyOf("z0"), true, {1, 101});
  BOOST_TEST(stored.needs_list());
  stored.BeginList();
  stored.OnListed(KeyOf("late"));
  stored.EndList({1, 102});
  BOOST_TEST(!stored.needs_list());
  BOOST_TEST(stored.snapshot().names.contains("late"));
}

// Guards against an instance that missed two changes and takes the first of
// them for news: taken back and evacuated again within a second.
BOOST_AUTO_TEST_CASE(MissedChangesAreSentAlthoughTheNamesAreEqual) {
  EvacuationState informed;
  informed.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  EvacuationState late;
  late.OnStored(MakeSnapshot(1, 50, {"z0"}), kStart);
  informed.OnStored(MakeSnapshot(1, 55, {"z0"}), kStart);
  BOOST_TEST(!informed.Surpasses(late.Report(kStart), kStart));
  informed.OnStored(MakeSnapshot(1, 60, {}), kStart);
  informed.OnStored(MakeSnapshot(1, 70, {"z0"}), kStart);
  BOOST_TEST(informed.Surpasses(late.Report(kStart), kStart));
  late.OnReport(informed.Report(kStart), kStart);
  late.OnStored(MakeSnapshot(1, 60, {}), kStart);
  BOOST_TEST(late.IsEvacuated("z0", kStart));
}

// Two lists whose pages were read at other times may differ at one position.
BOOST_AUTO_TEST_CASE(AtOnePositionBothSetsCount) {
  EvacuationState state;
  state.OnStored(MakeSnapshot(1, 5, {"z0"}), kStart);
  state.OnStored(MakeSnapshot(1, 5, {"z1"}), kStart);
  BOOST_TEST((state.InForce(kStart) == DataCenterNames{"z0", "z1"}));
  state.OnStored(MakeSnapshot(1, 6, {"z1"}), kStart);
  BOOST_TEST((state.InForce(kStart) == DataCenterNames{"z1"}));
}

}  // namespace cowslip::peers
