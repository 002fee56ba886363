// Tests what happens when the store comes back from an older copy: revisions
// and lease ids are assigned anew, and what was written since is gone.
#define BOOST_TEST_MODULE platform_store_return
#include <boost/test/unit_test.hpp>
#include <utility>

#include "platform/address.h"
#include "tests/platform/store_fixture.h"

namespace cowslip::platform_adapter::test {
namespace {

using standins::StoreFault;
using standins::StoreStandin;
using standins::StoreTable;
using std::chrono::milliseconds;

const Endpoint kStore{0x7f2a0107, 8169};  // 127.42.1.7
constexpr std::uint32_t kFirstInstance = 0x0a000001;
/// Time within which a configuration has to be in force.
constexpr milliseconds kConfigDeadline{3000};
/// Time within which lost entries have to be back.
constexpr milliseconds kEntryDeadline{2000};
/// Limit for steps that usually take a few milliseconds.
constexpr milliseconds kShortTime{700};

std::string KeyOf(std::uint32_t address) {
  return "cowslip/instances/" + AddressText(address);
}

struct Fixture : StoreFixture {
  Fixture() : StoreFixture(kStore, kShortTime) {}

  std::unique_ptr<Registration> Register(std::uint32_t address) {
    const auto entry = MakeEntry(address);
    auto instance =
        std::make_unique<Registration>(loop, client, entry, [](const auto&) {});
    instance->Publish(entry);
    BOOST_REQUIRE(RunUntil(loop, kShortTime, [&] { return Holds(address); }));
    RunFor(loop, milliseconds(20));
    return instance;
  }

  bool Holds(std::uint32_t address) {
    return store->table().Find(KeyOf(address)).has_value();
  }
};

}  // namespace

// The first change after the return gets the revision that was lost.
BOOST_FIXTURE_TEST_CASE(WatchDoesNotPassOverAChangeWithALostRevision, Fixture) {
  StartWatching();
  const auto copy = store->table();
  store->Put("op/other", "lost");
  // The watch now continues after the revision of that change.
  RunFor(loop, milliseconds(1100));
  store->Restore(copy);
  // The change is made between the read after the return and the next watch.
  on_verified = [this, changed = false]() mutable {
    if (!std::exchange(changed, true)) store->Put(kConfigKey, Document(4));
  };
  BOOST_TEST(HasVersion(4, kConfigDeadline));
}

// A watch that is sent before the return and executed after it.
BOOST_FIXTURE_TEST_CASE(DelayedWatchDoesNotPassOverAChange, Fixture) {
  StartWatching();
  const auto copy = store->table();
  for (int i = 0; i < 3; ++i) store->Put("op/other", "lost");
  RunFor(loop, milliseconds(1100));
  bool restored = false;
  store->SetOnCall([&](const std::string& path) {
    if (restored || path != "/cowslippitch/kv-watch") return;
    restored = true;
    store->Restore(copy);
    store->table().Put(kConfigKey, Document(4));
    for (int i = 0; i < 5; ++i) store->table().Put("op/other", "again");
  });
  BOOST_REQUIRE(RunUntil(loop, milliseconds(1500), [&] { return restored; }));
  BOOST_TEST(HasVersion(4, kConfigDeadline));
}

BOOST_FIXTURE_TEST_CASE(WatchGoesOnAtOnceAfterTheReturn, Fixture) {
  StartWatching();
  const auto copy = store->table();
  for (int i = 0; i < 50; ++i) store->Put("op/other", "lost");
  RunFor(loop, milliseconds(1100));
  int refused_calls = 0;
  store->Restore(copy);
  store->SetOnCall([&](const std::string&) { ++refused_calls; });
  RunFor(loop, milliseconds(900));
  // One read and one watch, and one refused attempt at the most.
  BOOST_TEST(refused_calls <= 4);
  store->Put(kConfigKey, Document(4));
  BOOST_TEST(HasVersion(4, milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(RestoredVersionDoesNotReplaceANewerOne, Fixture) {
  StartWatching();
  const auto copy = store->table();
  store->Put(kConfigKey, Document(4));
  BOOST_REQUIRE(HasVersion(4, kShortTime));
  store->Restore(copy);
  RunFor(loop, milliseconds(1500));
  BOOST_TEST(follower.version().number == 4U);
}

// A watch that is answered without a break shows each version.
BOOST_FIXTURE_TEST_CASE(WatchedVersionFollowsTheOneBefore, Fixture) {
  StartWatching();
  BOOST_TEST(!follows_previous);
  store->Put(kConfigKey, Document(4));
  BOOST_REQUIRE(HasVersion(4, kShortTime));
  BOOST_TEST(follows_previous);
  BOOST_REQUIRE(follower.link().has_value());
  BOOST_TEST(follower.link()->predecessor.digest ==
             peers::DocumentDigest(Document(1)));
}

// A version came and went while the store did not answer the watch.
BOOST_FIXTURE_TEST_CASE(VersionAfterABrokenWatchMayNotFollow, Fixture) {
  StartWatching();
  store->SetFault(standins::StoreFault::kBusy);
  store->CutWatches();
  RunFor(loop, milliseconds(200));
  store->Put(kConfigKey, Document(4));
  store->Put(kConfigKey, Document(5));
  store->SetFault(standins::StoreFault::kNone);
  BOOST_REQUIRE(HasVersion(5, kConfigDeadline));
  BOOST_TEST(!follows_previous);
  BOOST_TEST(!follower.link().has_value());
}

// The operator takes the number of a lost version again.
BOOST_FIXTURE_TEST_CASE(LostNumberWithOtherContentsIsInForce, Fixture) {
  StartWatching();
  const auto copy = store->table();
  store->Put(kConfigKey, Document(4, "vault"));
  BOOST_REQUIRE(HasVersion(4, kShortTime));
  store->Restore(copy);
  RunFor(loop, kShortTime);
  const auto written = Document(4, "custody");
  store->Put(kConfigKey, written);
  BOOST_TEST(RunUntil(loop, kConfigDeadline,
                      [&] { return follower.document() == written; }));
}

BOOST_FIXTURE_TEST_CASE(LostEntryIsBackWithinTwoSeconds, Fixture) {
  const auto copy = store->table();
  const auto instance = Register(kFirstInstance);
  store->Restore(copy);
  StartWatching();
  BOOST_TEST(
      RunUntil(loop, kEntryDeadline, [&] { return Holds(kFirstInstance); }));
}

// The entry was written under a lease that the copy has, but is not in it.
BOOST_FIXTURE_TEST_CASE(EntryLostWithoutItsLeaseIsBackWithinTwoSeconds,
                        Fixture) {
  StoreTable copy = store->table();
  store->SetOnCall([&](const std::string& path) {
    if (path == "/cowslippitch/kv-txn") copy = store->table();
  });
  const auto instance = Register(kFirstInstance);
  store->SetOnCall({});
  BOOST_REQUIRE(copy.HasLease(instance->lease().id));
  store->Restore(copy);
  StartWatching();
  BOOST_TEST(
      RunUntil(loop, kEntryDeadline, [&] { return Holds(kFirstInstance); }));
}

BOOST_FIXTURE_TEST_CASE(EntryThatIsNotLostIsNotWrittenAgain, Fixture) {
  const auto instance = Register(kFirstInstance);
  const auto before = store->table().Find(KeyOf(kFirstInstance))->revision;
  store->Restore(StoreTable(store->table()));
  StartWatching();
  RunFor(loop, kEntryDeadline);
  BOOST_REQUIRE(Holds(kFirstInstance));
  BOOST_TEST(store->table().Find(KeyOf(kFirstInstance))->revision == before);
}

// The store comes back between two pages of a list.
BOOST_FIXTURE_TEST_CASE(ListDoesNotMixEntriesOfTwoEras, Fixture) {
  constexpr std::uint32_t kInstances = 30;
  const auto copy = store->table();
  for (std::uint32_t i = 0; i < kInstances; ++i) {
    peers::Message message;
    message.entries.push_back(MakeEntry(kFirstInstance + i));
    const auto bytes = peers::Encode(message);
    store->table().Put(KeyOf(kFirstInstance + i),
                       std::string(bytes.begin(), bytes.end()));
  }
  store->SetOnCall([&, pages = 0](const std::string& path) mutable {
    const bool is_page = path == "/cowslippitch/kv-range";
    if (is_page && ++pages == 2) store->Restore(copy);
  });
  Registration reader(loop, client, MakeEntry(1), [](const auto&) {});
  std::optional<std::size_t> listed;
  reader.List([&](const auto& entries) { listed = entries->size(); });
  BOOST_REQUIRE(RunUntil(loop, kShortTime, [&] { return listed.has_value(); }));
  BOOST_TEST(*listed == 0U);
}

// The lost id of the first instance's lease is given to the second one.
BOOST_FIXTURE_TEST_CASE(PlannedStopDoesNotEndTheLeaseOfAnotherInstance,
                        Fixture) {
  const auto copy = store->table();
  const auto first = Register(kFirstInstance);
  store->Restore(copy);
  const auto second = Register(kFirstInstance + 1);
  first->Withdraw();
  RunFor(loop, milliseconds(200));
  BOOST_TEST(Holds(kFirstInstance + 1));
}

BOOST_FIXTURE_TEST_CASE(PlannedStopRemovesTheEntryAfterTheReturn, Fixture) {
  const auto instance = Register(kFirstInstance);
  store->Restore(StoreTable(store->table()));
  StartWatching();
  instance->Withdraw();
  BOOST_TEST(RunUntil(loop, milliseconds(200),
                      [&] { return !Holds(kFirstInstance); }));
}

// The call of the planned stop takes effect only after the return.
BOOST_FIXTURE_TEST_CASE(DelayedPlannedStopDoesNotEndTheLeaseOfAnotherInstance,
                        Fixture) {
  const auto copy = store->table();
  const auto first = Register(kFirstInstance);
  store->SetFault(StoreFault::kExecuteLate);
  first->Withdraw();
  RunFor(loop, milliseconds(100));
  store->SetFault(StoreFault::kNone);
  store->Restore(copy);
  const auto second = Register(kFirstInstance + 1);
  RunFor(loop, StoreStandin::kExecutionDelay + milliseconds(200));
  BOOST_TEST(Holds(kFirstInstance + 1));
}

BOOST_FIXTURE_TEST_CASE(LostEntryIsBackAfterAPeerHasSeenTheReturn, Fixture) {
  const auto copy = store->table();
  const auto instance = Register(kFirstInstance);
  store->Restore(copy);
  instance->OnReturnReported();
  BOOST_TEST(
      RunUntil(loop, kEntryDeadline, [&] { return Holds(kFirstInstance); }));
}

// A process takes over the lease of its predecessor, whose id belongs to
// another instance since the return.
BOOST_FIXTURE_TEST_CASE(EntryIsNotLeftUnderTheLeaseOfAnotherInstance, Fixture) {
  const auto copy = store->table();
  const auto predecessor = Register(kFirstInstance);
  auto former = MakeEntry(kFirstInstance);
  former.lease = predecessor->lease().id;
  former.lease_era = predecessor->lease().era;
  store->Restore(copy);
  const auto other = Register(kFirstInstance + 1);
  BOOST_REQUIRE_EQUAL(other->lease().id, former.lease);
  auto entry = MakeEntry(kFirstInstance);
  entry.incarnation = 6;
  Registration successor(loop, client, entry, [](const auto&) {});
  successor.Publish(entry);
  successor.AdoptLease(former);
  BOOST_REQUIRE(
      RunUntil(loop, kShortTime, [&] { return Holds(kFirstInstance); }));
  RunFor(loop, milliseconds(100));
  other->Withdraw();
  RunFor(loop, milliseconds(200));
  BOOST_TEST(Holds(kFirstInstance));
}

}  // namespace cowslip::platform_adapter::test
