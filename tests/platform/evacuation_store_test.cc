// Reads evacuations from a simulated store: lists of several pages, watches,
// and the store's faults.
#define BOOST_TEST_MODULE platform_evacuation_store
#include <boost/test/unit_test.hpp>

#include "tests/platform/store_fixture.h"

namespace cowslip::platform_adapter::test {
namespace {

using peers::DataCenterNames;
using standins::StoreFault;
using std::chrono::milliseconds;

const Endpoint kStore{0x7f2b0107, 8169};  // 127.43.1.7
/// Limit for steps that usually take a few milliseconds.
constexpr milliseconds kShortTime{700};
/// Limit for what takes one watch and its retries.
constexpr milliseconds kLongTime{3000};

std::string KeyOf(const std::string& name) { return "op/evacuate/" + name; }

struct Fixture : StoreFixture {
  Fixture() : StoreFixture(kStore, kShortTime) {}

  bool Reads(const DataCenterNames& names, milliseconds limit) {
    return RunUntil(loop, limit, [&] {
      return !evacuations.empty() && evacuations.back().names == names;
    });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(EvacuationIsReadWithTheDocument, Fixture) {
  store->Put(kConfigKey, Document(1));
  store->Put(KeyOf("z0"), "");
  follower.Start();
  BOOST_TEST(Reads({"z0"}, kShortTime));
  BOOST_TEST(HasVersion(1, kShortTime));
  BOOST_TEST((evacuations.back().position ==
              StorePosition{1, store->table().revision()}));
}

// Guards against a start that waits for evacuations although there are none.
BOOST_FIXTURE_TEST_CASE(EmptyStateIsKnownBeforeTheDocument, Fixture) {
  store->Put(kConfigKey, Document(1));
  follower.Start();
  BOOST_TEST(RunUntil(loop, kShortTime, [&] { return !evacuations.empty(); }));
  BOOST_TEST(evacuations.front().names.empty());
}

BOOST_FIXTURE_TEST_CASE(ChangesAreReadWithinMilliseconds, Fixture) {
  StartWatching();
  store->Put(KeyOf("z0"), "reason");
  BOOST_TEST(Reads({"z0"}, milliseconds(100)));
  store->Put(KeyOf("z1"), "");
  BOOST_TEST(Reads({"z0", "z1"}, milliseconds(100)));
  store->Remove(KeyOf("z0"));
  BOOST_TEST(Reads({"z1"}, milliseconds(100)));
  BOOST_TEST((evacuations.back().position ==
              StorePosition{1, store->table().revision()}));
  BOOST_TEST(follower.version().number == 1U);
}

// The simulated store has pages of 20 items; the document is on the second, and
// the evacuations begin there.
BOOST_FIXTURE_TEST_CASE(DocumentAndEvacuationsAreFoundOnAnyPage, Fixture) {
  for (int i = 0; i < 30; ++i) {
    store->Put("op/a" + std::to_string(100 + i), "other");
  }
  store->Put(kConfigKey, Document(1));
  DataCenterNames names;
  for (int i = 0; i < 35; ++i) {
    names.insert("z" + std::to_string(i));
    store->Put(KeyOf("z" + std::to_string(i)), "");
  }
  follower.Start();
  BOOST_TEST(Reads(names, kShortTime));
  BOOST_TEST(HasVersion(1, kShortTime));
}

// What changes between two pages is repeated by the watch.
BOOST_FIXTURE_TEST_CASE(ChangeBetweenPagesIsNotLost, Fixture) {
  store->Put(kConfigKey, Document(1));
  for (int i = 0; i < 25; ++i) {
    store->Put(KeyOf("z" + std::to_string(10 + i)), "");
  }
  int reads = 0;
  store->SetOnCall([&](const std::string& path) {
    if (path != "/cowslippitch/kv-range" || ++reads != 2) return;
    store->table().Remove(KeyOf("z10"));
    store->table().Put(KeyOf("a"), "");
  });
  follower.SetWatching(true);
  DataCenterNames names{"a"};
  for (int i = 1; i < 25; ++i) names.insert("z" + std::to_string(10 + i));
  BOOST_TEST(Reads(names, kShortTime));
}

BOOST_FIXTURE_TEST_CASE(DocumentIsAppliedAlthoughALaterPageFails, Fixture) {
  store->Put(kConfigKey, Document(1));
  for (int i = 0; i < 25; ++i) {
    store->Put(KeyOf("z" + std::to_string(10 + i)), "");
  }
  int reads = 0;
  store->SetOnCall([&](const std::string& path) {
    if (path == "/cowslippitch/kv-range" && ++reads == 2) {
      store->SetFault(StoreFault::kBusy);
    }
  });
  follower.Start();
  BOOST_TEST(HasVersion(1, kShortTime));
  // A part of a list is not the state.
  BOOST_TEST(evacuations.empty());
}

// Guards against a missed change: evacuated, taken back and evacuated again
// while the watch is refused as compacted.
BOOST_FIXTURE_TEST_CASE(CompactedWatchIsReplacedByAList, Fixture) {
  StartWatching();
  store->SetFault(StoreFault::kCompactHistory);
  store->CutWatches();
  for (int i = 0; i < 2; ++i) {
    store->table().Put(KeyOf("z0"), "");
    RunFor(loop, milliseconds(50));
    store->table().Remove(KeyOf("z0"));
    RunFor(loop, milliseconds(50));
  }
  store->table().Put(KeyOf("z0"), "");
  store->table().Put(KeyOf("z1"), "");
  store->table().Remove(KeyOf("z1"));
  store->table().Compact();
  store->SetFault(StoreFault::kNone);
  BOOST_TEST(Reads({"z0"}, kLongTime));
  store->Remove(KeyOf("z0"));
  BOOST_TEST(Reads({}, kLongTime));
}

BOOST_FIXTURE_TEST_CASE(ChangesDuringAnOutageAreRead, Fixture) {
  StartWatching();
  store->Put(KeyOf("z0"), "");
  BOOST_REQUIRE(Reads({"z0"}, kShortTime));
  for (const auto fault :
       {StoreFault::kBusy, StoreFault::kReset, StoreFault::kNoResponse}) {
    store->SetFault(fault);
    store->CutWatches();
    store->table().Remove(KeyOf("z0"));
    store->table().Put(KeyOf("z1"), "");
    RunFor(loop, milliseconds(300));
    store->SetFault(StoreFault::kNone);
    BOOST_TEST(Reads({"z1"}, kLongTime));
    store->Remove(KeyOf("z1"));
    store->Put(KeyOf("z0"), "");
    BOOST_TEST(Reads({"z0"}, kLongTime));
  }
}

// The store has lost an evacuation; the era tells.
BOOST_FIXTURE_TEST_CASE(ReturnOfTheStoreIsReadInItsEra, Fixture) {
  StartWatching();
  const auto copy = store->table();
  store->Put(KeyOf("z0"), "");
  BOOST_REQUIRE(Reads({"z0"}, kShortTime));
  const auto before = evacuations.back().position;
  store->Restore(copy);
  BOOST_TEST(Reads({}, kLongTime));
  BOOST_TEST(evacuations.back().position.era == 2U);
  BOOST_TEST((before < evacuations.back().position));
  store->Put(KeyOf("z0"), "");
  BOOST_TEST(Reads({"z0"}, kLongTime));
}

// One page is read before the return and the next after it.
BOOST_FIXTURE_TEST_CASE(PagesOfTwoErasAreNotMixed, Fixture) {
  store->Put(kConfigKey, Document(1));
  for (int i = 0; i < 25; ++i) {
    store->Put(KeyOf("z" + std::to_string(10 + i)), "");
  }
  auto copy = store->table();
  for (int i = 0; i < 20; ++i) copy.Remove(KeyOf("z" + std::to_string(10 + i)));
  int reads = 0;
  store->SetOnCall([&](const std::string& path) {
    if (path == "/cowslippitch/kv-range" && ++reads == 2) store->Restore(copy);
  });
  follower.Start();
  BOOST_TEST(Reads({"z30", "z31", "z32", "z33", "z34"}, kShortTime));
  BOOST_TEST(evacuations.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NamesBeyondTheLimitAreRefusedUntilThereIsRoom,
                        Fixture) {
  StartWatching();
  DataCenterNames names;
  for (int i = 0; i < 64; ++i) {
    names.insert("z" + std::to_string(100 + i));
    store->Put(KeyOf("z" + std::to_string(100 + i)), "");
  }
  BOOST_REQUIRE(Reads(names, kLongTime));
  store->Put(KeyOf("z999"), "");
  RunFor(loop, milliseconds(100));
  BOOST_TEST((evacuations.back().names == names));
  store->Remove(KeyOf("z100"));
  names.erase("z100");
  names.insert("z999");
  BOOST_TEST(Reads(names, kLongTime));
}

}  // namespace cowslip::platform_adapter::test
