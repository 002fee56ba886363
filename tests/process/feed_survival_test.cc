#define BOOST_TEST_MODULE feed_survival
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/process/feed_callers.h"

namespace cowslip::testing {
namespace {

using std::chrono::seconds;

constexpr int kCallers = 16;
/// Time after which a fabric removes a balancer that does not answer.
constexpr seconds kFabricNotices{2};
/// Longer than the time after which an unresponsive process is avoided.
constexpr seconds kFreeze{5};

ServiceOptions Custody() { return {.id = 1, .vip = 1, .prefer = "balance"}; }
ServiceOptions Dossier() { return {.id = 2, .vip = 2}; }

DeploymentOptions Options(std::uint64_t seed) {
  DeploymentOptions options;
  options.seed = seed;
  options.services = {Custody()};
  return options;
}

struct OpenFeeds {
  explicit OpenFeeds(const DeploymentOptions& options) : deployment(options) {
    BOOST_REQUIRE(deployment.Start());
    feeds.emplace(deployment, 1, kCallers);
    CheckFresh("start");
  }

  void CheckFresh(const std::string& after) {
    for (const auto& name : feeds->WaitForFresh()) {
      BOOST_ERROR("after " << after << ": no notification for " << name);
    }
  }
  void CheckAll(const std::string& after) {
    CheckFresh(after);
    for (const auto& fault : feeds->FindViolations()) {
      BOOST_ERROR("after " << after << ": " << fault);
    }
  }

  void KillBalancer(int id) {
    deployment.Kill("balancer-" + std::to_string(id));
    std::this_thread::sleep_for(kFabricNotices);
    deployment.SetFabricTarget(id, false);
  }
  void RestartBalancer(int id) {
    const auto name = "balancer-" + std::to_string(id);
    const int ticket = deployment.TicketAt("balancer-2");
    deployment.Restart(name);
    BOOST_TEST(deployment.WaitForTicket(ticket, {name}));
    deployment.SetFabricTarget(id, true);
  }
  void FreezeBalancer(int id) {
    const auto name = "balancer-" + std::to_string(id);
    deployment.Stop(name);
    std::this_thread::sleep_for(kFabricNotices);
    deployment.SetFabricTarget(id, false);
    std::this_thread::sleep_for(kFreeze);
    deployment.Continue(name);
    deployment.SetFabricTarget(id, true);
    CheckServes(name);
  }
  /// Checks that a pause of a balancer does not start its drain.
  void CheckServes(const std::string& name) {
    CheckFresh(name + " continued");
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
  /// Drains a sidecar, then ends its upstream.
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
  OpenFeeds open(Options(11));
  open.KillBalancer(1);
  open.CheckFresh("kill");
  open.RestartBalancer(1);
  open.CheckAll("restart");
}

BOOST_AUTO_TEST_CASE(BalancerFrozenAndContinued) {
  OpenFeeds open(Options(12));
  open.FreezeBalancer(2);
  open.CheckAll("freeze");
}

BOOST_AUTO_TEST_CASE(BalancerAdded) {
  OpenFeeds open(Options(13));
  open.AddBalancer(4);
  open.CheckAll("balancer-4");
}

BOOST_AUTO_TEST_CASE(BalancerDrained) {
  OpenFeeds open(Options(14));
  open.deployment.Terminate("balancer-3");
  std::this_thread::sleep_for(seconds(1));
  open.deployment.SetFabricTarget(3, false);
  BOOST_TEST(
      (open.deployment.Process("balancer-3").WaitForExit(kEventually) == 0));
  open.CheckAll("drain");
}

BOOST_AUTO_TEST_CASE(UpstreamAdded) {
  OpenFeeds open(Options(15));
  open.deployment.StartUpstream(Custody(), 3);
  std::this_thread::sleep_for(seconds(2));
  open.CheckAll("upstream-13");
  BOOST_TEST(open.feeds->ServedBy("upstream-13") == 0);
}

BOOST_AUTO_TEST_CASE(UpstreamDrained) {
  OpenFeeds open(Options(16));
  BOOST_TEST(open.feeds->ServedBy("upstream-11") > 0);
  open.Drain("11");
  open.CheckAll("drain");
  BOOST_TEST(open.feeds->ServedBy("upstream-12") == kCallers);
}

BOOST_AUTO_TEST_CASE(TicketChanges) {
  OpenFeeds open(Options(17));
  auto custody = Custody();
  int number = 1;
  const auto submit = [&](const std::string& change,
                          const std::vector<ServiceOptions>& services,
                          const std::vector<int>& removed) {
    BOOST_TEST(open.deployment.SubmitTicket(++number, services, removed) == 0);
    BOOST_TEST(open.deployment.WaitForTicket(
        number, {"balancer-1", "balancer-2", "balancer-3", "sidecar-11",
                 "sidecar-12"}));
    open.CheckFresh(change);
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
  open.CheckAll("all back");
}

BOOST_AUTO_TEST_CASE(AllAtOnceTwice) {
  auto options = Options(18);
  options.balancers = 4;
  options.upstreams_per_service = 4;
  OpenFeeds open(options);
  int number = 1;
  auto custody = Custody();
  for (const std::string id : {"11", "12"}) {
    const std::string added = std::to_string(std::stoi(id) + 4);
    open.deployment.Terminate("sidecar-" + id);
    open.deployment.StartUpstream(Custody(), std::stoi(added) - 10);
    open.deployment.Kill("balancer-1");
    open.deployment.Stop("balancer-2");
    custody.idle_timeout = id + "0s";
    BOOST_TEST(open.deployment.SubmitTicket(++number, {custody}) == 0);
    std::this_thread::sleep_for(kFabricNotices);
    open.deployment.SetFabricTarget(1, false);
    open.deployment.SetFabricTarget(2, false);
    std::this_thread::sleep_for(kFreeze);
    open.deployment.Continue("balancer-2");
    open.deployment.SetFabricTarget(2, true);
    BOOST_TEST(open.deployment.WaitForTicket(number, {"balancer-2"}));
    open.RestartBalancer(1);
    BOOST_TEST(
        (open.deployment.Process("sidecar-" + id).WaitForExit(seconds(40)) ==
         0));
    open.deployment.Terminate("upstream-" + id);
    open.CheckAll("round with " + id);
  }
}

}  // namespace
}  // namespace cowslip::testing
