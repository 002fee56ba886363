#define BOOST_TEST_MODULE tickets
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "tests/process/deployment.h"
#include "tests/process/http.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using Names = std::vector<std::string>;

/// Processes of a data centre that watch the store.
constexpr std::uint64_t kWatchers = 3;
constexpr int kBalancers = 6;
constexpr int kSidecars = 6;

DeploymentOptions Options() {
  DeploymentOptions options;
  options.balancers = kBalancers;
  options.upstreams_per_service = kSidecars;
  options.peers = 2;
  return options;
}

Names AllDaemons() {
  Names names;
  for (int i = 1; i <= kBalancers; ++i) {
    names.push_back("balancer-" + std::to_string(i));
  }
  for (int i = 1; i <= kSidecars; ++i) {
    names.push_back("sidecar-" + std::to_string(10 + i));
  }
  return names;
}

std::vector<ServiceOptions> ServicesOf(int number) {
  ServiceOptions service;
  service.idle_timeout = std::to_string(60 + number) + "s";
  return {service};
}

std::uint64_t StoreCounter(const Deployment& deployment,
                           const std::string& name) {
  const auto body = HttpGet(deployment.site().Store(), "/stats");
  return nlohmann::json::parse(body.value_or("{}")).value(name, 0ULL);
}

std::uint64_t CountStoreCalls(const Deployment& deployment) {
  return StoreCounter(deployment, "read") + StoreCounter(deployment, "watch") +
         StoreCounter(deployment, "write") +
         StoreCounter(deployment, "session");
}

std::string HttpOf(const Deployment& deployment, const std::string& name) {
  const int id = std::stoi(name.substr(name.find('-') + 1));
  return name.starts_with("balancer") ? deployment.site().BalancerHttp(id)
                                      : deployment.site().SidecarHttp(id);
}

std::uint64_t CountWatchers(const Deployment& deployment) {
  std::uint64_t count = 0;
  for (const auto& name : AllDaemons()) {
    const auto page = HttpGet(HttpOf(deployment, name), "/ticket");
    const auto json = nlohmann::json::parse(page.value_or("{}"));
    if (json.value("watching", false) && json.value("depth", 1) == 0) ++count;
  }
  return count;
}

/// Waits until only the processes that rank first watch the store: their number
/// must be kWatchers in several consecutive checks.
bool WaitForWatchers(const Deployment& deployment) {
  constexpr int kConsecutiveChecks = 20;
  int consecutive = 0;
  return Eventually([&] {
    consecutive = CountWatchers(deployment) == kWatchers ? consecutive + 1 : 0;
    return consecutive == kConsecutiveChecks;
  });
}

/// Measures the time until each process has the ticket and prints the
/// distribution.
bool MeasureTicket(const Deployment& deployment, int number, Names names,
                   const std::string& what) {
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::int64_t> times;
  const bool all = Eventually([&] {
    std::erase_if(names, [&](const auto& name) {
      if (deployment.TicketAt(name) != number) return false;
      times.push_back(std::chrono::duration_cast<milliseconds>(
                          std::chrono::steady_clock::now() - start)
                          .count());
      return true;
    });
    return names.empty();
  });
  std::sort(times.begin(), times.end());
  if (times.empty()) return false;
  BOOST_TEST_MESSAGE("in force, " << what << ": p50 " << times[times.size() / 2]
                                  << " ms, max " << times.back() << " ms of "
                                  << times.size() << " processes");
  return all;
}

BOOST_AUTO_TEST_CASE(TicketIsInForceWithStoreUpDownIsolatedAndPaused) {
  Deployment deployment(Options());
  BOOST_REQUIRE(deployment.Start());
  BOOST_REQUIRE(WaitForWatchers(deployment));
  const auto all = AllDaemons();

  BOOST_REQUIRE(deployment.SubmitTicket(2, ServicesOf(2)) == 0);
  BOOST_TEST(MeasureTicket(deployment, 2, all, "store up"));

  BOOST_REQUIRE(deployment.SubmitTicket(3, ServicesOf(3)) == 0);
  deployment.SetStoreFault("down?on=1");
  BOOST_TEST(MeasureTicket(deployment, 3, all, "store down after acceptance"));
  deployment.SetStoreFault("down?on=0");
  BOOST_REQUIRE(WaitForWatchers(deployment));

  for (std::size_t i = 0; i < all.size(); i += 2) {
    deployment.SetStoreAccessDenied(all[i], true);
  }
  BOOST_REQUIRE(deployment.SubmitTicket(4, ServicesOf(4)) == 0);
  BOOST_TEST(MeasureTicket(deployment, 4, all, "half isolated from the store"));
  for (const auto& name : all) deployment.SetStoreAccessDenied(name, false);
  BOOST_REQUIRE(WaitForWatchers(deployment));

  deployment.Stop("balancer-1");
  BOOST_REQUIRE(deployment.SubmitTicket(5, ServicesOf(5)) == 0);
  const Names others(all.begin() + 1, all.end());
  BOOST_TEST(MeasureTicket(deployment, 5, others, "one paused, the others"));
  deployment.Continue("balancer-1");
  BOOST_TEST(MeasureTicket(deployment, 5, {"balancer-1"}, "continued"));
}

BOOST_AUTO_TEST_CASE(StartDuringAnOutageServesFromPeersOrReportsWhyNot) {
  Deployment deployment(Options());
  BOOST_REQUIRE(deployment.Start());
  BOOST_REQUIRE(WaitForWatchers(deployment));
  BOOST_REQUIRE(deployment.SubmitTicket(2, ServicesOf(2)) == 0);
  BOOST_REQUIRE(deployment.WaitForTicket(2, AllDaemons()));
  BOOST_REQUIRE(deployment.RunCtl({"ticket", "compact"}) == 0);
  deployment.SetStoreFault("down?on=1");

  deployment.Kill("balancer-3");
  deployment.Restart("balancer-3");
  BOOST_TEST(deployment.WaitForTicket(2, {"balancer-3"}));
  BOOST_TEST(
      HttpGet(deployment.site().BalancerHttp(3), "/healthz").has_value());

  // Alone: all other processes and the store have ended.
  for (const auto& name : AllDaemons()) deployment.Kill(name);
  deployment.Restart("balancer-3");
  BOOST_TEST(Eventually([&] {
    return deployment.ReadLog("balancer-3").find("event=no_ticket") !=
           std::string::npos;
  }));
  BOOST_TEST(deployment.ReadLog("balancer-3")
                 .find("neither the store nor a peer is reachable") !=
             std::string::npos);
  BOOST_TEST(deployment.TicketAt("balancer-3") == 0);
  BOOST_TEST(
      !HttpGet(deployment.site().BalancerHttp(3), "/healthz").has_value());
  deployment.SetStoreFault("down?on=0");
  BOOST_TEST(deployment.WaitForTicket(2, {"balancer-3"}));
}

BOOST_AUTO_TEST_CASE(TwoTicketsAndRestartOfAllConvergeWithFewStoreCalls) {
  Deployment deployment(Options());
  BOOST_REQUIRE(deployment.Start());
  BOOST_REQUIRE(WaitForWatchers(deployment));
  const auto all = AllDaemons();

  const auto before_ticket = CountStoreCalls(deployment);
  BOOST_REQUIRE(deployment.SubmitTicket(2, ServicesOf(2)) == 0);
  BOOST_REQUIRE(deployment.WaitForTicket(2, all));
  BOOST_REQUIRE(WaitForWatchers(deployment));
  // Submission reads twice two keys and writes one; each watcher renews its
  // watch.
  const auto per_ticket = CountStoreCalls(deployment) - before_ticket;
  BOOST_TEST_MESSAGE("store calls of one ticket: " << per_ticket);
  BOOST_TEST(per_ticket <= 5 + kWatchers);

  const auto before = CountStoreCalls(deployment);
  for (const auto& name : all) deployment.Kill(name);
  for (const auto& name : all) deployment.Restart(name);
  BOOST_REQUIRE(deployment.SubmitTicket(3, ServicesOf(3)) == 0);
  BOOST_REQUIRE(deployment.SubmitTicket(4, ServicesOf(4)) == 0);
  BOOST_TEST(deployment.WaitForTicket(4, all));
  BOOST_TEST(WaitForWatchers(deployment));
  const auto calls = CountStoreCalls(deployment) - before;
  BOOST_TEST_MESSAGE("store calls of a restart of "
                     << all.size() << " and two tickets: " << calls);
  // A balancer lists its data centre once and may write its record; a sidecar
  // lists it, and reads and writes its announcement, which every watcher
  // receives. Lists by processes that had no peers yet are within the last
  // part.
  constexpr std::uint64_t kPerProcess = 4;
  BOOST_TEST(calls <= all.size() * kPerProcess + kWatchers * (kSidecars + 2) +
                          2 * 5 + all.size());
}

BOOST_AUTO_TEST_CASE(OperatorsGetCorrectStatus) {
  Deployment deployment(Options());
  BOOST_REQUIRE(deployment.Start());
  constexpr int kExitRejected = 2;
  constexpr int kExitNumberTaken = 4;
  deployment.SetStoreFault("lose_answer?count=1");
  BOOST_TEST(deployment.SubmitTicket(2, ServicesOf(2)) == 0);
  BOOST_TEST(deployment.SubmitTicket(2, ServicesOf(2)) == 0);
  BOOST_TEST(deployment.SubmitTicket(2, ServicesOf(9)) == kExitNumberTaken);
  BOOST_TEST(deployment.SubmitTicket(5, ServicesOf(5)) == kExitRejected);
  BOOST_TEST(deployment.RunCtl({"ticket", "compact"}) == 0);
  BOOST_TEST(deployment.SubmitTicket(2, ServicesOf(2)) == 0);
  BOOST_TEST(deployment.SubmitTicket(2, ServicesOf(9)) == kExitNumberTaken);
  BOOST_TEST(deployment.SubmitTicket(3, ServicesOf(3)) == 0);
  BOOST_TEST(deployment.WaitForTicket(3, AllDaemons()));
  BOOST_TEST(ReadFile(deployment.PathOf("ctl.log"))
                 .find("held by quispe; the next number is 3") !=
             std::string::npos);
}

}  // namespace
}  // namespace cowslip::testing
