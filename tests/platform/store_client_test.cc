// The client of the platform's store, and what is built on it, against a
// stand-in with the faults that the store may show.
#define BOOST_TEST_MODULE platform_store_client
#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>

#include "platform/config_follower.h"
#include "platform/registration.h"
#include "platform/standins/store_standin.h"
#include "tests/platform/loop_runner.h"

namespace cowslip::platform_adapter::test {
namespace {

using standins::StoreFault;
using standins::StoreStandin;
using std::chrono::milliseconds;

const Endpoint kStore{0x7f290107, 8169};   // 127.41.1.7
const Endpoint kNobody{0x7f290108, 8169};  // 127.41.1.8, nothing listens
const std::string kConfigKey = "op/config";
/// A configuration has to be in force within this time.
constexpr milliseconds kInForce{3000};
/// No call may take longer: what waits for it goes on.
constexpr milliseconds kLongestCall{800};
/// For calls that usually take a few milliseconds.
constexpr milliseconds kSoon{500};

std::string Document(int version, const std::string& service = "vault") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"host":"198.18.0.1","prefix":"/8443/","service":")" +
         service + R"("}],"services":[],"limits":{}})";
}

struct Fixture {
  EventLoop loop;
  std::unique_ptr<StoreStandin> store = Open();
  StoreClient client{loop.base(), kStore};
  std::uint64_t verified = 0;
  std::uint64_t failed = 0;
  ConfigFollower follower{
      loop,
      client,
      milliseconds(1000),
      {[](auto) {}, [this] { ++verified; }, [this] { ++failed; }}};

  std::unique_ptr<StoreStandin> Open() {
    LastReason<AdapterError> reason;
    auto standin = StoreStandin::Listen(loop.base(), kStore, reason);
    BOOST_REQUIRE_MESSAGE(standin != nullptr, reason.Message());
    return standin;
  }

  bool HasVersion(std::uint64_t version, milliseconds limit) {
    return RunUntil(loop, limit, [&] { return follower.version() == version; });
  }

  /// A follower that has version 1 and watches.
  void StartWatching() {
    store->Put(kConfigKey, Document(1));
    follower.SetWatching(true);
    BOOST_REQUIRE(HasVersion(1, kSoon));
    RunFor(loop, milliseconds(50));
  }

  /// @return how a call ends that lists keys.
  StoreFailure ListOnce() {
    std::optional<StoreFailure> failure;
    client.List("cowslip/", "",
                [&](const StoreResult& result) { failure = result.failure; });
    BOOST_TEST(
        RunUntil(loop, kLongestCall, [&] { return failure.has_value(); }));
    return failure.value_or(StoreFailure::kNone);
  }
};

peers::PeerEntry MakeEntry(std::uint32_t address) {
  peers::PeerEntry entry;
  entry.address = address;
  entry.incarnation = 5;
  entry.service = "vault";
  entry.open = true;
  return entry;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(EveryFaultEndsACallInTimeAndByItsName, Fixture) {
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

BOOST_FIXTURE_TEST_CASE(ASilentCallHoldsUpNoOther, Fixture) {
  int silent = 0;
  store->SetFault(StoreFault::kNoResponse);
  for (int i = 0; i < 5; ++i) {
    client.List("cowslip/", "", [&](const StoreResult&) { ++silent; });
  }
  RunFor(loop, milliseconds(20));
  store->SetFault(StoreFault::kNone);
  bool answered = false;
  client.List("cowslip/", "",
              [&](const StoreResult& result) { answered = result.ok(); });
  BOOST_TEST(RunUntil(loop, milliseconds(200), [&] { return answered; }));
  BOOST_TEST(silent == 0);
}

BOOST_FIXTURE_TEST_CASE(AStoreThatIsNotThereIsUnreachable, Fixture) {
  StoreClient lost(loop.base(), kNobody);
  std::optional<StoreFailure> failure;
  lost.OpenLease(std::chrono::seconds(5),
                 [&](const StoreResult& result) { failure = result.failure; });
  BOOST_TEST(RunUntil(loop, kLongestCall, [&] { return failure.has_value(); }));
  BOOST_TEST((failure == StoreFailure::kUnreachable));
}

BOOST_FIXTURE_TEST_CASE(AWriteWithoutAnswerMayHaveBeenDone, Fixture) {
  store->SetFault(StoreFault::kLoseResponse);
  std::optional<StoreFailure> failure;
  client.Write("cowslip/a", "x", 0, WriteCondition::kAbsent,
               [&](const StoreResult& result) { failure = result.failure; });
  BOOST_TEST(RunUntil(loop, kLongestCall, [&] { return failure.has_value(); }));
  BOOST_TEST((failure == StoreFailure::kUnreachable));
  BOOST_TEST(store->table().Find("cowslip/a").has_value());
}

BOOST_FIXTURE_TEST_CASE(AChangeIsInForceWithinMilliseconds, Fixture) {
  StartWatching();
  store->Put(kConfigKey, Document(4));
  BOOST_TEST(HasVersion(4, milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(AChangeMadeWhileTheWatchWasCutIsFound, Fixture) {
  StartWatching();
  store->CutWatches();
  store->table().Put(kConfigKey, Document(4));
  BOOST_TEST(HasVersion(4, kSoon));
}

BOOST_FIXTURE_TEST_CASE(ASilentWatchDoesNotHideAChange, Fixture) {
  StartWatching();
  // The watch that runs now is answered; the next one is not.
  store->SetFault(StoreFault::kNoResponse);
  RunFor(loop, milliseconds(1200));
  store->table().Put(kConfigKey, Document(4));
  store->SetFault(StoreFault::kNone);
  BOOST_TEST(HasVersion(4, kInForce));
  BOOST_TEST(failed > 0U);
}

BOOST_FIXTURE_TEST_CASE(ADroppedHistoryIsReadAgain, Fixture) {
  StartWatching();
  store->SetFault(StoreFault::kCompactHistory);
  RunFor(loop, milliseconds(1100));
  store->table().Put(kConfigKey, Document(4));
  store->table().Compact();
  store->SetFault(StoreFault::kNone);
  BOOST_TEST(HasVersion(4, kInForce));
}

BOOST_FIXTURE_TEST_CASE(AFlappingStoreIsFollowedWithinTheTimeAllowed, Fixture) {
  StartWatching();
  int version = 1;
  for (const auto fault :
       {StoreFault::kBusy, StoreFault::kTooMany, StoreFault::kReset}) {
    store->SetFault(fault);
    store->CutWatches();
    RunFor(loop, milliseconds(400));
    store->SetFault(StoreFault::kNone);
    store->Put(kConfigKey, Document(++version));
    BOOST_TEST(HasVersion(version, kInForce));
  }
}

BOOST_FIXTURE_TEST_CASE(AnOlderVersionNeverReplacesANewerOne, Fixture) {
  StartWatching();
  store->Put(kConfigKey, Document(9));
  BOOST_REQUIRE(HasVersion(9, kSoon));
  store->Put(kConfigKey, Document(8));
  RunFor(loop, milliseconds(100));
  BOOST_TEST(follower.version() == 9U);
  follower.FetchFromPeer(kNobody, 7);
  RunFor(loop, milliseconds(100));
  BOOST_TEST(follower.version() == 9U);
}

BOOST_FIXTURE_TEST_CASE(GarbageInTheStoreChangesNothing, Fixture) {
  StartWatching();
  for (const std::string garbage :
       {"", "{", "[]", "\xff\xfe", R"({"version":"7"})",
        R"({"version":7,"routes":[{"host":"nowhere","prefix":"/1/"}]})"}) {
    store->Put(kConfigKey, garbage);
    RunFor(loop, milliseconds(20));
    BOOST_TEST(follower.version() == 1U);
  }
  store->Put(kConfigKey, Document(8));
  BOOST_TEST(HasVersion(8, kSoon));
}

BOOST_FIXTURE_TEST_CASE(APeerThatFailsIsReplacedByTheStore, Fixture) {
  store->Put(kConfigKey, Document(1));
  follower.Start();
  BOOST_REQUIRE(HasVersion(1, kSoon));
  store->Put(kConfigKey, Document(2));
  follower.FetchFromPeer(kNobody, 2);
  BOOST_TEST(HasVersion(2, kInForce));
}

BOOST_FIXTURE_TEST_CASE(EntriesOfSeveralPagesAreAllListed, Fixture) {
  constexpr std::uint32_t kFirst = 0x0a000001;
  constexpr std::uint32_t kCount = 45;
  std::vector<std::unique_ptr<Registration>> instances;
  for (std::uint32_t i = 0; i < kCount; ++i) {
    const auto entry = MakeEntry(kFirst + i);
    instances.push_back(std::make_unique<Registration>(loop, client, entry,
                                                       [](const auto&) {}));
    instances.back()->Publish(entry);
  }
  BOOST_REQUIRE(RunUntil(loop, kInForce, [&] {
    return store->table().Range("cowslip/instances/", "").size() == kCount;
  }));
  // Something else wrote there, too.
  store->Put("cowslip/instances/0", "not an entry");
  std::size_t listed = 0;
  instances.front()->List([&](const auto& entries) {
    if (entries) listed = entries->size();
  });
  BOOST_TEST(RunUntil(loop, kSoon, [&] { return listed > 0; }));
  BOOST_TEST(listed == kCount);
}

BOOST_FIXTURE_TEST_CASE(AnEntryIsBackSoonAfterTheStore, Fixture) {
  const auto entry = MakeEntry(0x0a000001);
  Registration instance(loop, client, entry, [](const auto&) {});
  store->SetFault(StoreFault::kBusy);
  instance.Publish(entry);
  RunFor(loop, milliseconds(3000));
  store->SetFault(StoreFault::kNone);
  // The page of the store allows about two seconds.
  BOOST_TEST(RunUntil(loop, milliseconds(2000), [&] {
    return store->table().Range("cowslip/instances/", "").size() == 1;
  }));
}

BOOST_FIXTURE_TEST_CASE(AnEntryIsBackSoonAfterALongOutage, Fixture) {
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

BOOST_FIXTURE_TEST_CASE(APredecessorIsToldOfOnce, Fixture) {
  const auto entry = MakeEntry(0x0a000001);
  std::vector<bool> told;
  const auto note = [&](const auto& predecessor) {
    told.push_back(predecessor.has_value());
  };
  Registration first(loop, client, entry, note);
  first.Publish(entry);
  BOOST_REQUIRE(RunUntil(loop, kInForce, [&] { return told.size() == 1; }));
  Registration second(loop, client, entry, note);
  second.Publish(entry);
  BOOST_REQUIRE(RunUntil(loop, kInForce, [&] { return told.size() == 2; }));
  BOOST_TEST(!told[0]);
  BOOST_TEST(told[1]);
}

}  // namespace cowslip::platform_adapter::test
