#define BOOST_TEST_MODULE permit_exploration
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/permit_world.h"

namespace cowslip::testing {
namespace {

constexpr int kMaxFaults = 3;
constexpr int kMaxSteps = 60;

using Schedule = std::vector<Fault>;

std::string Text(const Schedule& schedule) {
  std::string text;
  for (const auto fault : schedule) {
    text += std::to_string(static_cast<int>(fault)) + " ";
  }
  return text;
}

/// Runs every schedule with a bounded number of faults.
class Exploration {
 public:
  explicit Exploration(const PermitScenario& scenario) : scenario_(scenario) {}

  /// Explores all schedules that begin with the given one and then have no
  /// fault, or up to `faults` of them.
  void Explore(const Schedule& prefix, int faults) {
    PermitWorld world(scenario_);
    for (const auto fault : prefix) {
      if (!world.Step(fault)) return;
    }
    auto schedule = prefix;
    while (schedule.size() < kMaxSteps) {
      if (faults > 0) Branch(schedule, faults - 1);
      if (!world.Step(Fault::kNone)) break;
      schedule.push_back(Fault::kNone);
    }
    Judge(world, schedule);
  }

  std::size_t schedules() const { return schedules_; }
  std::size_t told_run() const { return told_run_; }
  const std::string& first_failure() const { return first_failure_; }

 private:
  void Branch(const Schedule& prefix, int faults) {
    for (int i = 1; i < static_cast<int>(Fault::kCount); ++i) {
      auto next = prefix;
      next.push_back(static_cast<Fault>(i));
      Explore(next, faults);
    }
  }

  void Judge(const PermitWorld& world, const Schedule& schedule) {
    ++schedules_;
    const auto told = world.told();
    const bool not_run = told == coap::Code::kServiceUnavailable ||
                         told == coap::Code::kUnauthorized;
    const bool done = told == coap::Code::kContent;
    if (done) ++told_run_;
    if (world.runs() > 1) Fail("run twice", schedule);
    if (not_run && world.runs() > 0) Fail("told not run", schedule);
    if (done && world.runs() == 0) Fail("told done", schedule);
  }

  void Fail(const std::string& what, const Schedule& schedule) {
    if (first_failure_.empty()) first_failure_ = what + ": " + Text(schedule);
  }

  PermitScenario scenario_;
  std::size_t schedules_ = 0;
  std::size_t told_run_ = 0;
  std::string first_failure_;
};

void ExploreScenario(const PermitScenario& scenario) {
  Exploration exploration(scenario);
  exploration.Explore({}, kMaxFaults);
  BOOST_TEST_MESSAGE(exploration.schedules()
                     << " schedules, " << exploration.told_run() << " done");
  BOOST_TEST(exploration.schedules() > 1000u);
  BOOST_TEST(exploration.first_failure() == "");
}

BOOST_AUTO_TEST_CASE(FaultFreePostRunsOnce) {
  PermitWorld world({});
  while (world.Step(Fault::kNone)) {
  }
  BOOST_TEST(world.runs() == 1);
  BOOST_TEST((world.told() == coap::Code::kContent));
}

BOOST_AUTO_TEST_CASE(EqualViews) { ExploreScenario({}); }

BOOST_AUTO_TEST_CASE(StaleBalancer) {
  ExploreScenario({.second_balancer_is_stale = true});
}

BOOST_AUTO_TEST_CASE(StaleBalancerAndSidecar) {
  ExploreScenario(
      {.second_balancer_is_stale = true, .second_sidecar_is_stale = true});
}

BOOST_AUTO_TEST_CASE(FirstTableFull) {
  ExploreScenario(
      {.second_balancer_is_stale = true, .first_table_is_full = true});
}

BOOST_AUTO_TEST_CASE(SecondTableFull) {
  ExploreScenario({.second_balancer_is_stale = true,
                   .second_sidecar_is_stale = true,
                   .second_table_is_full = true});
}

}  // namespace
}  // namespace cowslip::testing
