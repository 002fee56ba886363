#define BOOST_TEST_MODULE offload
#include <boost/test/unit_test.hpp>

#include "cowslip/engine/free_slot_table.h"
#include "experiments/engine_run.h"

namespace cowslip::experiments {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EngineOptions Options(std::uint64_t seed) {
  EngineOptions options;
  options.seed = seed;
  return options;
}

/// Guards against requests that search at the same time and all queue at the
/// upstream that each of them found to have the shortest wait.
BOOST_AUTO_TEST_CASE(ConcurrentSearchesDoNotChooseTheSameQueue) {
  constexpr std::uint32_t kUpstreams = 6;
  const Deployment deployment{"burst", 1, {1, 1, 1, 1, 1, 1}};
  int uneven = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Workload workload;
    workload.length = seconds(20);
    // One request for each slot, then as many at the same time.
    for (std::uint32_t i = 0; i < 2 * kUpstreams; ++i) {
      const bool first = i < kUpstreams;
      const Duration arrival = first ? milliseconds(50) * i : seconds(1);
      workload.jobs.push_back({arrival, seconds(2), i});
    }
    const auto result = EngineRun(Options(seed), deployment, workload).Run();
    // A second request in the same queue waits for the first one as well.
    if (result.Wait(1.0) > seconds(2)) ++uneven;
  }
  // All 10 without claims.
  BOOST_TEST(uneven <= 4);
}

constexpr ServiceId kService{1};
constexpr UpstreamId kSlow{1};
constexpr UpstreamId kFast{2};
constexpr std::uint32_t kSlowTime = 100'000;
constexpr std::uint32_t kFastTime = 25'000;

/// Guards against hints to slots that are in use again, and against hints that
/// move requests without a gain.
BOOST_AUTO_TEST_CASE(FreeSlotIsHintedOnceWhileItIsRecent) {
  struct Case {
    const char* name;
    UpstreamId owner;
    std::uint32_t owner_slots;  ///< Free at the owner.
    std::uint32_t other_slots;  ///< Free at the other upstream.
    milliseconds age;
    UpstreamId first_hint;
    UpstreamId second_hint;
  };
  constexpr UpstreamId kNone{};
  const Case cases[] = {
      {"faster slot, once", kSlow, 1, 1, milliseconds(1), kFast, kNone},
      {"two faster slots", kSlow, 1, 2, milliseconds(1), kFast, kFast},
      {"no free slot", kSlow, 1, 0, milliseconds(1), kNone, kNone},
      {"too old", kSlow, 1, 1, milliseconds(11), kNone, kNone},
      {"slower slot", kFast, 1, 1, milliseconds(1), kNone, kNone},
      {"slower slot, full owner", kFast, 0, 1, milliseconds(1), kSlow, kNone}};
  for (const auto& test : cases) {
    engine::FreeSlotTable table;
    const TimePoint start{seconds(1)};
    const auto time_of = [](UpstreamId id) {
      return id == kFast ? kFastTime : kSlowTime;
    };
    const auto other = test.owner == kFast ? kSlow : kFast;
    table.Update(kService, test.owner, test.owner_slots, time_of(test.owner),
                 start);
    table.Update(kService, other, test.other_slots, time_of(other), start);
    const auto now = start + test.age;
    BOOST_TEST((table.Take(kService, test.owner, now) == test.first_hint),
               test.name);
    BOOST_TEST((table.Take(kService, test.owner, now) == test.second_hint),
               test.name);
  }
}

/// Guards against requests on slow slots while fast ones are free.
BOOST_AUTO_TEST_CASE(RequestsPreferFastUpstreamsThatHaveFreeSlots) {
  const auto custody = Deployments()[0];
  const auto workload = MakeWorkload(custody, {{seconds(20), 0.8}}, 1);
  const auto balanced = EngineRun(Options(1), custody, workload).Run();
  BOOST_TEST((balanced.MeanTotal() < milliseconds(50)));
}

}  // namespace
}  // namespace cowslip::experiments
