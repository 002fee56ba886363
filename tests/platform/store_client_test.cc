// Tests StoreClient, ConfigFollower and Registration against a simulated store
// with the faults that the platform's store may show.
#define BOOST_TEST_MODULE platform_store_client
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>

#include "tests/platform/store_fixture.h"

namespace cowslip::platform_adapter::test {
namespace {

using standins::StoreFault;
using std::chrono::milliseconds;

const Endpoint kStore{0x7f290107, 8169};          // 127.41.1.7
const Endpoint kUnusedAddress{0x7f290108, 8169};  // 127.41.1.8, nothing listens
/// Time within which a configuration has to be in force.
constexpr milliseconds kConfigDeadline{3000};
/// Limit of the duration of a call; its callers wait for the result.
constexpr milliseconds kMaxCallTime{800};
/// Limit for steps that usually take a few milliseconds.
constexpr milliseconds kShortTime{500};

struct Fixture : StoreFixture {
  Fixture() : StoreFixture(kStore, kShortTime) {}

  /// @return the outcome of a call that lists keys.
  StoreFailure ListOnce() {
    std::optional<StoreFailure> failure;
    client.List("cowslip/", "",
                [&](const StoreResult& result) { failure = result.failure; });
    BOOST_TEST(
        RunUntil(loop, kMaxCallTime, [&] { return failure.has_value(); }));
    return failure.value_or(StoreFailure::kNone);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(EachFaultEndsACallInTimeWithItsFailure, Fixture) {
  const std::pair<StoreFault, StoreFailure> cases[] = {
      {StoreFault::kNone, StoreFailure::kNone},
      {StoreFault::kNoResponse, StoreFailure::kUnreachable},
      {StoreFault::kBusy, StoreFailure::kBusy},
      {StoreFault::kTooMany, StoreFailure::kBusy},
      {StoreFault::kReset, StoreFailure::kUnreachable},
      {StoreFault::kLoseResponse, StoreFailure::kUnreachable},
  };
  for (const auto& [fault, failure] : cases) {
    store->SetFault(fault);
    BOOST_TEST(ToString(ListOnce()) == ToString(failure));
  }
}

BOOST_FIXTURE_TEST_CASE(CallWithoutResponseDelaysNoOtherCall, Fixture) {
  int ended_without_response = 0;
  store->SetFault(StoreFault::kNoResponse);
  for (int i = 0; i < 5; ++i) {
    client.List("cowslip/", "",
                [&](const StoreResult&) { ++ended_without_response; });
  }
  RunFor(loop, milliseconds(20));
  store->SetFault(StoreFault::kNone);
  bool answered = false;
  client.List("cowslip/", "",
              [&](const StoreResult& result) { answered = result.ok(); });
  BOOST_TEST(RunUntil(loop, milliseconds(200), [&] { return answered; }));
  BOOST_TEST(ended_without_response == 0);
}

BOOST_FIXTURE_TEST_CASE(StoreWithoutListenerIsUnreachable, Fixture) {
  StoreClient unreachable_client(loop.base(), kUnusedAddress);
  std::optional<StoreFailure> failure;
  unreachable_client.OpenLease(
      std::chrono::seconds(5),
      [&](const StoreResult& result) { failure = result.failure; });
  BOOST_TEST(RunUntil(loop, kMaxCallTime, [&] { return failure.has_value(); }));
  BOOST_TEST((failure == StoreFailure::kUnreachable));
}

BOOST_FIXTURE_TEST_CASE(WriteWithoutResponseMayTakeEffect, Fixture) {
  store->SetFault(StoreFault::kLoseResponse);
  std::optional<StoreFailure> failure;
  client.Write("cowslip/a", "x", 0, WriteCondition::kAbsent,
               [&](const StoreResult& result) { failure = result.failure; });
  BOOST_TEST(RunUntil(loop, kMaxCallTime, [&] { return failure.has_value(); }));
  BOOST_TEST((failure == StoreFailure::kUnreachable));
  BOOST_TEST(store->table().Find("cowslip/a").has_value());
}

BOOST_FIXTURE_TEST_CASE(ChangeIsInForceWithinMilliseconds, Fixture) {
  StartWatching();
  store->Put(kConfigKey, Document(4));
  BOOST_TEST(HasVersion(4, milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(ChangeDuringAnInterruptedWatchIsFound, Fixture) {
  StartWatching();
  store->CutWatches();
  store->table().Put(kConfigKey, Document(4));
  BOOST_TEST(HasVersion(4, kShortTime));
}

BOOST_FIXTURE_TEST_CASE(WatchWithoutResponseDoesNotHideAChange, Fixture) {
  StartWatching();
  // The present watch gets a response; the next one gets none.
  store->SetFault(StoreFault::kNoResponse);
  RunFor(loop, milliseconds(1200));
  store->table().Put(kConfigKey, Document(4));
  store->SetFault(StoreFault::kNone);
  BOOST_TEST(HasVersion(4, kConfigDeadline));
  BOOST_TEST(failed > 0U);
}

BOOST_FIXTURE_TEST_CASE(ConfigurationIsReadAgainAfterCompaction, Fixture) {
  StartWatching();
  store->SetFault(StoreFault::kCompactHistory);
  RunFor(loop, milliseconds(1100));
  store->table().Put(kConfigKey, Document(4));
  store->table().Compact();
  store->SetFault(StoreFault::kNone);
  BOOST_TEST(HasVersion(4, kConfigDeadline));
}

BOOST_FIXTURE_TEST_CASE(ChangesAreAppliedInTimeWhileTheStoreFlaps, Fixture) {
  StartWatching();
  int version = 1;
  for (const auto fault :
       {StoreFault::kBusy, StoreFault::kTooMany, StoreFault::kReset}) {
    store->SetFault(fault);
    store->CutWatches();
    RunFor(loop, milliseconds(400));
    store->SetFault(StoreFault::kNone);
    store->Put(kConfigKey, Document(++version));
    BOOST_TEST(HasVersion(version, kConfigDeadline));
  }
}

BOOST_FIXTURE_TEST_CASE(OlderVersionNeverReplacesANewerOne, Fixture) {
  StartWatching();
  store->Put(kConfigKey, Document(9));
  BOOST_REQUIRE(HasVersion(9, kShortTime));
  store->Put(kConfigKey, Document(8));
  RunFor(loop, milliseconds(100));
  BOOST_TEST(follower.version().number == 9U);
  follower.OnAnnounced(kUnusedAddress, {.number = 7});
  RunFor(loop, milliseconds(100));
  BOOST_TEST(follower.version().number == 9U);
}

BOOST_FIXTURE_TEST_CASE(InvalidDocumentsInTheStoreAreIgnored, Fixture) {
  StartWatching();
  for (const std::string invalid :
       {"", "{", "[]", "\xff\xfe", R"({"version":"7"})",
        R"({"version":7,"routes":[{"host":"nowhere","prefix":"/1/"}]})"}) {
    store->Put(kConfigKey, invalid);
    RunFor(loop, milliseconds(20));
    BOOST_TEST(follower.version().number == 1U);
  }
  store->Put(kConfigKey, Document(8));
  BOOST_TEST(HasVersion(8, kShortTime));
}

BOOST_FIXTURE_TEST_CASE(StoreIsReadIfThePeerFails, Fixture) {
  store->Put(kConfigKey, Document(1));
  follower.Start();
  BOOST_REQUIRE(HasVersion(1, kShortTime));
  store->Put(kConfigKey, Document(2));
  follower.OnAnnounced(kUnusedAddress, {.number = 2});
  BOOST_TEST(HasVersion(2, kConfigDeadline));
}

BOOST_FIXTURE_TEST_CASE(EntriesOfAllPagesAreListed, Fixture) {
  constexpr std::uint32_t kFirst = 0x0a000001;
  constexpr std::uint32_t kCount = 45;
  std::vector<std::unique_ptr<Registration>> instances;
  for (std::uint32_t i = 0; i < kCount; ++i) {
    const auto entry = MakeEntry(kFirst + i);
    instances.push_back(std::make_unique<Registration>(loop, client, entry,
                                                       [](const auto&) {}));
    instances.back()->Publish(entry);
  }
  BOOST_REQUIRE(RunUntil(loop, kConfigDeadline, [&] {
    return store->table().Range("cowslip/instances/", "").size() == kCount;
  }));
  // Another program has written a value with the same prefix.
  store->Put("cowslip/instances/0", "not an entry");
  std::size_t listed = 0;
  instances.front()->List([&](const auto& entries) {
    if (entries) listed = entries->size();
  });
  BOOST_TEST(RunUntil(loop, kShortTime, [&] { return listed > 0; }));
  BOOST_TEST(listed == kCount);
}

BOOST_FIXTURE_TEST_CASE(EntryIsWrittenSoonAfterAnOutage, Fixture) {
  const auto entry = MakeEntry(0x0a000001);
  Registration instance(loop, client, entry, [](const auto&) {});
  store->SetFault(StoreFault::kBusy);
  instance.Publish(entry);
  RunFor(loop, milliseconds(3000));
  store->SetFault(StoreFault::kNone);
  // The platform allows about two seconds after the store is available again.
  BOOST_TEST(RunUntil(loop, milliseconds(2000), [&] {
    return store->table().Range("cowslip/instances/", "").size() == 1;
  }));
}

// A call that begins just before the end of the outage has to time out first.
BOOST_FIXTURE_TEST_CASE(EntryIsWrittenSoonAfterAnUnresponsiveStore, Fixture) {
  const auto entry = MakeEntry(0x0a000001);
  Registration instance(loop, client, entry, [](const auto&) {});
  int calls = 0;
  store->SetFault(StoreFault::kNoResponse);
  store->SetOnCall([&](const std::string&) { ++calls; });
  instance.Publish(entry);
  BOOST_REQUIRE(RunUntil(loop, milliseconds(8000), [&] { return calls == 4; }));
  store->SetFault(StoreFault::kNone);
  BOOST_TEST(RunUntil(loop, milliseconds(2000), [&] {
    return store->table().Range("cowslip/instances/", "").size() == 1;
  }));
}

BOOST_FIXTURE_TEST_CASE(EntryIsWrittenSoonAfterALongOutage, Fixture) {
  const auto entry = MakeEntry(0x0a000001);
  Registration instance(loop, client, entry, [](const auto&) {});
  store->SetFault(StoreFault::kBusy);
  instance.Publish(entry);
  RunFor(loop, milliseconds(8200));
  store->SetFault(StoreFault::kNone);
  BOOST_TEST(RunUntil(loop, milliseconds(2000), [&] {
    return store->table().Range("cowslip/instances/", "").size() == 1;
  }));
}

// Another program has written odd entries among those of the instances.
BOOST_FIXTURE_TEST_CASE(OddEntriesAreSkippedInTheList, Fixture) {
  const std::string prefix = "cowslip/instances/";
  peers::Message message;
  message.entries.push_back(MakeEntry(0x0a000002));
  const auto bytes = peers::Encode(message);
  const std::string foreign(bytes.begin(), bytes.end());
  store->Put(prefix + "10.0.0.3", "");
  store->Put(prefix + "10.0.0.4", std::string(100'000, '['));
  store->Put(prefix + "10.0.0.5", foreign);
  store->Put(prefix + "10.0.0.2:70000", foreign);
  store->Put(prefix + "10.0.0.6", foreign.substr(0, foreign.size() / 2));
  store->Put(prefix + "10.0.0.2", foreign);
  Registration reader(loop, client, MakeEntry(1), [](const auto&) {});
  std::optional<std::vector<peers::PeerEntry>> listed;
  reader.List([&](const auto& entries) { listed = entries; });
  BOOST_REQUIRE(
      RunUntil(loop, kConfigDeadline, [&] { return listed.has_value(); }));
  BOOST_REQUIRE(listed->size() == 1U);
  BOOST_TEST(listed->front().address == 0x0a000002U);
}

BOOST_FIXTURE_TEST_CASE(PredecessorIsReportedOnce, Fixture) {
  const auto entry = MakeEntry(0x0a000001);
  std::vector<bool> reported;
  const auto report = [&](const auto& predecessor) {
    reported.push_back(predecessor.has_value());
  };
  Registration first(loop, client, entry, report);
  first.Publish(entry);
  BOOST_REQUIRE(
      RunUntil(loop, kConfigDeadline, [&] { return reported.size() == 1; }));
  Registration second(loop, client, entry, report);
  second.Publish(entry);
  BOOST_REQUIRE(
      RunUntil(loop, kConfigDeadline, [&] { return reported.size() == 2; }));
  BOOST_TEST(!reported[0]);
  BOOST_TEST(reported[1]);
}

}  // namespace cowslip::platform_adapter::test
