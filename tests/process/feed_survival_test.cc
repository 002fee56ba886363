#define BOOST_TEST_MODULE feed_survival
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/process/feed_callers.h"

namespace cowslip::testing {
namespace {

using std::chrono::seconds;

constexpr int kCallers = 16;
/// Time after which a fabric removes a balancer that does not answer.
constexpr seconds kFabricDetectionTime{2};
/// Longer than the time after which an unresponsive process is avoided.
constexpr seconds kPauseTime{5};

ServiceOptions Custody() { return {.id = 1, .vip = 1, .prefer = "balance"}; }
ServiceOptions Dossier() { return {.id = 2, .vip = 2}; }

DeploymentOptions Options(std::uint64_t seed) {
  DeploymentOptions options;
  options.seed = seed;
  options.services = {Custody()};
  return options;
}

/// A deployment with open feeds.
struct OpenFeeds {
  explicit OpenFeeds(const DeploymentOptions& options) : deployment(options) {
    BOOST_REQUIRE(deployment.Start());
    feeds.emplace(deployment, 1, kCallers);
    CheckNewNotifications("start");
  }

  void CheckNewNotifications(const std::string& after) {
    for (const auto& name : feeds->WaitForNewNotifications()) {
      BOOST_ERROR("after " << after << ": no notification for " << name);
    }
  }
  void CheckAll(const std::string& after) {
    CheckNewNotifications(after);
    for (const auto& violation : feeds->FindViolations()) {
      BOOST_ERROR("after " << after << ": " << violation);
    }
  }

  void KillBalancer(int id) {
    deployment.Kill("balancer-" + std::to_string(id));
    std::this_thread::sleep_for(kFabricDetectionTime);
    deployment.SetFabricTarget(id, false);
  }
  void RestartBalancer(int id) {
    const auto name = "balancer-" + std::to_string(id);
    const int ticket = deployment.TicketAt("balancer-2");
    deployment.Restart(name);
    BOOST_TEST(deployment.WaitForTicket(ticket, {name}));
    deployment.SetFabricTarget(id, true);
  }
  void PauseBalancer(int id) {
    const auto name = "balancer-" + std::to_string(id);
    deployment.Stop(name);
    std::this_thread::sleep_for(kFabricDetectionTime);
    deployment.SetFabricTarget(id, false);
    std::this_thread::sleep_for(kPauseTime);
    deployment.Continue(name);
    deployment.SetFabricTarget(id, true);
    CheckServes(name);
  }
  /// Checks that a pause of a balancer does not start its drain.
  void CheckServes(const std::string& name) {
    CheckNewNotifications(name + " continued");
    BOOST_TEST(deployment.Process(name).IsRunning());
    const bool drains = deployment.ReadLog(name).find(
                            "event=balancer_draining") != std::string::npos;
    BOOST_TEST(!drains, name << " drains after a pause");
  }
  void AddBalancer(int id) {
    const int ticket = deployment.TicketAt("balancer-2");
    deployment.StartBalancer(id);
    BOOST_TEST(
        deployment.WaitForTicket(ticket, {"balancer-" + std::to_string(id)}));
    deployment.SetFabricTarget(id, true);
  }
  /// Drains a sidecar, then terminates its upstream.
  void Drain(const std::string& id) {
    deployment.Terminate("sidecar-" + id);
    const auto code = deployment.Process("sidecar-" + id)
                          .WaitForExit(std::chrono::seconds(40));
    BOOST_TEST((code == 0), "sidecar-" << id << " ends by itself");
    deployment.Terminate("upstream-" + id);
  }

  Deployment deployment;
  std::optional<FeedCallers> feeds;
};

BOOST_AUTO_TEST_CASE(BalancerKilledAndRestarted) {
  OpenFeeds scenario(Options(11));
  scenario.KillBalancer(1);
  scenario.CheckNewNotifications("kill");
  scenario.RestartBalancer(1);
  scenario.CheckAll("restart");
}

BOOST_AUTO_TEST_CASE(BalancerPausedAndContinued) {
  OpenFeeds scenario(Options(12));
  scenario.PauseBalancer(2);
  scenario.CheckAll("freeze");
}

BOOST_AUTO_TEST_CASE(BalancerAdded) {
  OpenFeeds scenario(Options(13));
  scenario.AddBalancer(4);
  scenario.CheckAll("balancer-4");
}

BOOST_AUTO_TEST_CASE(BalancerDrained) {
  OpenFeeds scenario(Options(14));
  scenario.deployment.Terminate("balancer-3");
  std::this_thread::sleep_for(seconds(1));
  scenario.deployment.SetFabricTarget(3, false);
  BOOST_TEST((
      scenario.deployment.Process("balancer-3").WaitForExit(kEventually) == 0));
  scenario.CheckAll("drain");
}

BOOST_AUTO_TEST_CASE(UpstreamAdded) {
  OpenFeeds scenario(Options(15));
  scenario.deployment.StartUpstream(Custody(), 3);
  std::this_thread::sleep_for(seconds(2));
  scenario.CheckAll("upstream-13");
  BOOST_TEST(scenario.feeds->CountServedBy("upstream-13") == 0);
}

BOOST_AUTO_TEST_CASE(UpstreamDrained) {
  OpenFeeds scenario(Options(16));
  BOOST_TEST(scenario.feeds->CountServedBy("upstream-11") > 0);
  scenario.Drain("11");
  scenario.CheckAll("drain");
  BOOST_TEST(scenario.feeds->CountServedBy("upstream-12") == kCallers);
}

BOOST_AUTO_TEST_CASE(TicketChanges) {
  OpenFeeds scenario(Options(17));
  auto custody = Custody();
  int number = 1;
  const auto submit = [&](const std::string& change,
                          const std::vector<ServiceOptions>& services,
                          const std::vector<int>& removed) {
    BOOST_TEST(scenario.deployment.SubmitTicket(++number, services, removed) ==
               0);
    BOOST_TEST(scenario.deployment.WaitForTicket(
        number, {"balancer-1", "balancer-2", "balancer-3", "sidecar-11",
                 "sidecar-12"}));
    scenario.CheckNewNotifications(change);
  };
  submit("service added", {Dossier()}, {});
  submit("service removed", {}, {2});
  custody.name = "renamed";
  submit("name", {custody}, {});
  custody.prefer = "continuity";
  submit("prefer", {custody}, {});
  custody.idle_timeout = "30s";
  custody.request_timeout = "5s";
  submit("timeouts", {custody}, {});
  custody.max_flows = 1;
  custody.max_queue = 0;
  submit("limits", {custody}, {});
  custody.protocol = "datagram";
  submit("protocol", {custody}, {});
  submit("all back", {Custody()}, {});
  scenario.CheckAll("all back");
}

BOOST_AUTO_TEST_CASE(AllChangesAtOnceTwice) {
  auto options = Options(18);
  options.balancers = 4;
  options.upstreams_per_service = 4;
  OpenFeeds scenario(options);
  int number = 1;
  auto custody = Custody();
  for (const std::string id : {"11", "12"}) {
    const std::string added = std::to_string(std::stoi(id) + 4);
    scenario.deployment.Terminate("sidecar-" + id);
    scenario.deployment.StartUpstream(Custody(), std::stoi(added) - 10);
    scenario.deployment.Kill("balancer-1");
    scenario.deployment.Stop("balancer-2");
    custody.idle_timeout = id + "0s";
    BOOST_TEST(scenario.deployment.SubmitTicket(++number, {custody}) == 0);
    std::this_thread::sleep_for(kFabricDetectionTime);
    scenario.deployment.SetFabricTarget(1, false);
    scenario.deployment.SetFabricTarget(2, false);
    std::this_thread::sleep_for(kPauseTime);
    scenario.deployment.Continue("balancer-2");
    scenario.deployment.SetFabricTarget(2, true);
    BOOST_TEST(scenario.deployment.WaitForTicket(number, {"balancer-2"}));
    scenario.RestartBalancer(1);
    BOOST_TEST((
        scenario.deployment.Process("sidecar-" + id).WaitForExit(seconds(40)) ==
        0));
    scenario.deployment.Terminate("upstream-" + id);
    scenario.CheckAll("round with " + id);
  }
}

}  // namespace
}  // namespace cowslip::testing
