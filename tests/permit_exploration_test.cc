#define BOOST_TEST_MODULE permit_exploration
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "support/permit_simulation.h"

namespace cowslip::testing {
namespace {

constexpr int kMaxFaults = 3;
constexpr int kMaxSteps = 60;

using Schedule = std::vector<Fault>;

std::string ToText(const Schedule& schedule) {
  std::string text;
  for (const auto fault : schedule) {
    text += std::to_string(static_cast<int>(fault)) + " ";
  }
  return text;
}

/// Runs all schedules that have at most a given number of faults, and checks
/// for each that the request ran at most once and that the caller's response is
/// true.
class Exploration {
 public:
  explicit Exploration(const PermitScenario& scenario) : scenario_(scenario) {}

  /// Runs all schedules that begin with a prefix and have up to `faults` faults
  /// after it.
  void Explore(const Schedule& prefix, int faults) {
    PermitSimulation simulation(scenario_);
    for (const auto fault : prefix) {
      if (!simulation.Step(fault)) return;
    }
    auto schedule = prefix;
    while (schedule.size() < kMaxSteps) {
      if (faults > 0) Branch(schedule, faults - 1);
      if (!simulation.Step(Fault::kNone)) break;
      schedule.push_back(Fault::kNone);
    }
    Check(simulation, schedule);
  }

  std::size_t schedules() const { return schedules_; }
  std::size_t completed() const { return completed_; }
  const std::string& first_failure() const { return first_failure_; }

 private:
  void Branch(const Schedule& prefix, int faults) {
    for (int i = 1; i < static_cast<int>(Fault::kCount); ++i) {
      auto next = prefix;
      next.push_back(static_cast<Fault>(i));
      Explore(next, faults);
    }
  }

  void Check(const PermitSimulation& simulation, const Schedule& schedule) {
    ++schedules_;
    const auto final_response = simulation.final_response();
    const bool not_run = final_response == coap::Code::kServiceUnavailable ||
                         final_response == coap::Code::kUnauthorized;
    const bool done = final_response == coap::Code::kContent;
    if (done) ++completed_;
    if (simulation.runs() > 1) Fail("run twice", schedule);
    if (not_run && simulation.runs() > 0) Fail("false denial", schedule);
    if (done && simulation.runs() == 0) Fail("false success", schedule);
  }

  void Fail(const std::string& what, const Schedule& schedule) {
    if (first_failure_.empty()) first_failure_ = what + ": " + ToText(schedule);
  }

  PermitScenario scenario_;
  std::size_t schedules_ = 0;
  std::size_t completed_ = 0;
  std::string first_failure_;
};

void ExploreScenario(const PermitScenario& scenario) {
  Exploration exploration(scenario);
  exploration.Explore({}, kMaxFaults);
  BOOST_TEST_MESSAGE(exploration.schedules()
                     << " schedules, " << exploration.completed() << " done");
  BOOST_TEST(exploration.schedules() > 1000u);
  BOOST_TEST(exploration.first_failure() == "");
}

BOOST_AUTO_TEST_CASE(FaultFreePostRunsOnce) {
  PermitSimulation simulation({});
  while (simulation.Step(Fault::kNone)) {
  }
  BOOST_TEST(simulation.runs() == 1);
  BOOST_TEST((simulation.final_response() == coap::Code::kContent));
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
