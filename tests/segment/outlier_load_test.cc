// Load patterns of upstreams that fail or are slow while their health is good,
// in virtual time, each with and without the comparison of members.
#define BOOST_TEST_MODULE outlier_load
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "segment/load_replay.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261206;
constexpr double kMeanCost = 0.04;
constexpr int kUpstreams = 40;
/// 14 % of them.
constexpr int kFailing = 6;

/// Three in a hundred requests cost seven times as much as the others.
std::chrono::duration<double> DrawHeavyTail(std::mt19937_64& random) {
  constexpr double kUnit = kMeanCost / (0.97 + 0.03 * 7);
  std::bernoulli_distribution is_long(0.03);
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  return std::chrono::duration<double>(kUnit * spread(random) *
                                       (is_long(random) ? 7 : 1));
}

/// Two thirds of the upstreams are faster than the others.
LoadPlan MakePlan(double of_capacity, seconds length, int failing,
                  const std::vector<PlannedFault>& faults) {
  LoadPlan plan;
  plan.balancers_per_data_center = 6;
  double capacity = 0;
  for (int i = 0; i < kUpstreams; ++i) {
    auto& upstream = plan.upstreams.emplace_back();
    upstream.factor = i % 3 == 2 ? 1.7 : 0.7;
    if (i < failing) upstream.faults = faults;
    capacity += upstream.slots / (kMeanCost * upstream.factor);
  }
  const double rate = of_capacity * capacity;
  FlowGenerator(kSeed, DrawHeavyTail)
      .Add(plan, length, rate, [&](int, Duration) { return rate; });
  return plan;
}

struct Comparison {
  ReplayResult without;
  ReplayResult with;
};

Comparison Compare(const LoadPlan& plan, const ReplayFaults& faults = {}) {
  Comparison compared{LoadReplay(plan, Policy::kPlacement, faults).Run(),
                      LoadReplay(plan, Policy::kOutliers, faults).Run()};
  BOOST_TEST_MESSAGE("  without: " << compared.without);
  BOOST_TEST_MESSAGE("  with:    " << compared.with);
  return compared;
}

/// @return how often a member from `first` on became an outlier.
int WrongOutliers(const ReplayResult& result, int first) {
  return static_cast<int>(std::count_if(
      result.outlier_events.begin(), result.outlier_events.end(),
      [&](const auto& each) { return each.begins && each.upstream >= first; }));
}

/// @return the last time at which a member stopped being an outlier.
Duration LastEnd(const ReplayResult& result) {
  Duration last{};
  for (const auto& each : result.outlier_events) {
    if (!each.begins) last = std::max(last, each.at);
  }
  return last;
}

constexpr auto kFrom = seconds(5);
constexpr auto kUntil = milliseconds(11'500);

}  // namespace

// Guards against new connections to upstreams that fail part of their requests
// or are slow, against healthy upstreams that count as outliers, and against
// refusals because of outliers.
BOOST_AUTO_TEST_CASE(FaultsOfSomeUpstreams) {
  struct Case {
    const char* name;
    PlannedFault fault;
    double load;  ///< Of the capacity without the fault.
    double max_errors;
  };
  const PlannedFault small{kFrom, kUntil, 0.45, Failure::kSmallResponse};
  const PlannedFault resets{kFrom, kUntil, 0.45, Failure::kReset};
  const PlannedFault silent{kFrom, kUntil, 0.45, Failure::kNoResponse};
  const PlannedFault all{kFrom, kUntil, 1, Failure::kSmallResponse};
  const PlannedFault slow{kFrom, kUntil, 0, Failure::kReset, 7.5};
  // Unanswered requests hold their slots at the sidecar until their time limit,
  // and slow upstreams report longer waits, so both are avoided without the
  // comparison already.
  const Case cases[] = {
      {"small responses", small, 0.6, 0.2},
      {"small responses, high load", small, 0.85, 0.4},
      {"resets", resets, 0.6, 0.2},
      {"no response", silent, 0.75, 0.9},
      {"all fail", all, 0.75, 0.1},
      {"slow", slow, 0.75, 1},
  };
  for (const auto& each : cases) {
    BOOST_TEST_MESSAGE(each.name);
    const auto [without, with] =
        Compare(MakePlan(each.load, seconds(16), kFailing, {each.fault}));
    BOOST_TEST(with.errors <= each.max_errors * without.errors, each.name);
    BOOST_TEST(with.InTarget() >= without.InTarget() - 0.0005, each.name);
    BOOST_TEST(with.refused <= without.refused, each.name);
    BOOST_TEST(WrongOutliers(with, kFailing) == 0, each.name);
    BOOST_TEST(!with.outlier_events.empty(), each.name);
  }
}

// Guards against outliers where nobody is at fault alone: failures of all or
// most upstreams, upstreams of two speeds, requests of several times the mean
// cost, and one upstream that reports nonsense. Its peers must not suffer.
BOOST_AUTO_TEST_CASE(NobodyIsAnOutlierForCommonFaults) {
  struct Case {
    const char* name;
    double load;
    int failing;
    int nonsense = -1;
  };
  const PlannedFault fault{kFrom, kUntil, 0.45, Failure::kReset};
  const Case cases[] = {
      {"healthy", 0.6, 0},
      {"healthy, high load", 0.9, 0},
      {"idle", 0.05, 0},
      {"all fail", 0.6, kUpstreams},
      {"two thirds fail", 0.6, kUpstreams * 2 / 3},
      {"nonsense", 0.6, 0, 0},
  };
  for (const auto& each : cases) {
    BOOST_TEST_MESSAGE(each.name);
    ReplayFaults faults;
    faults.nonsense_responses = each.nonsense;
    const auto [without, with] = Compare(
        MakePlan(each.load, seconds(30), each.failing, {fault}), faults);
    const int first = each.nonsense + 1;
    BOOST_TEST(WrongOutliers(with, first) == 0, each.name);
    BOOST_TEST(with.refused <= 1.1 * without.refused, each.name);
    BOOST_TEST(with.InTarget() >= without.InTarget() - 0.002, each.name);
  }
}

// Guards against a recovered upstream that stays avoided: at the first interval
// of trials it is back within two seconds.
BOOST_AUTO_TEST_CASE(RecoveredUpstreamsAreBack) {
  constexpr milliseconds kShort{6'000};
  const PlannedFault fault{kFrom, kShort, 0.45, Failure::kSmallResponse};
  const auto result = LoadReplay(MakePlan(0.6, seconds(16), kFailing, {fault}),
                                 Policy::kOutliers)
                          .Run();
  BOOST_TEST(!result.outlier_events.empty());
  BOOST_TEST_MESSAGE("  back after " << (LastEnd(result) - kShort).count() / 1e6
                                     << " ms");
  BOOST_TEST((LastEnd(result) <= kShort + seconds(2)));
}

// Guards against an upstream that fails again each time it is used: it gets
// trials at growing intervals, so it returns less often than it fails.
BOOST_AUTO_TEST_CASE(FlappingUpstream) {
  std::vector<PlannedFault> faults;
  for (int at = 5; at < 35; at += 2) {
    faults.push_back(
        {seconds(at), seconds(at + 1), 0.9, Failure::kSmallResponse});
  }
  const auto plan = MakePlan(0.6, seconds(36), 2, faults);
  const auto [without, with] = Compare(plan);
  const auto begins = WrongOutliers(with, 0) /
                      static_cast<double>(2 * plan.balancers_per_data_center);
  BOOST_TEST_MESSAGE("  begins at each balancer " << begins);
  BOOST_TEST(with.errors <= 0.4 * without.errors);
  BOOST_TEST(begins <= static_cast<double>(faults.size()) / 2);
}

}  // namespace cowslip::segment::test
