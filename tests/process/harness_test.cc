#define BOOST_TEST_MODULE harness
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <thread>

#include "tests/process/deployment.h"

namespace cowslip::testing {
namespace {

/// A CoAP client of another library is served through the fabric's address.
BOOST_AUTO_TEST_CASE(CoapClientIsServed) {
  Deployment deployment({});
  BOOST_REQUIRE(deployment.Start());
  const auto vip = deployment.Vip(1);

  const auto get = deployment.RunCaller({"get", vip, "/info"});
  BOOST_TEST(get.exit_code == 0);
  BOOST_TEST(FindField(get.output, "payload").ends_with(" service-1"));

  const auto post = deployment.RunCaller({"post", vip, "/claim", "claim-1"});
  BOOST_TEST(post.exit_code == 0, post.output);
  BOOST_REQUIRE(deployment.ReadJournal().size() == 1U);
  BOOST_TEST(deployment.ReadJournal().front().claim == "claim-1");

  const auto fetch = deployment.RunCaller({"fetch", vip, "/dossier"});
  BOOST_TEST(FindField(fetch.output, "size") == "1048576", fetch.output);

  const auto observe =
      deployment.RunCaller({"observe", vip, "/feed", "--seconds", "3"});
  BOOST_TEST(observe.exit_code == 0, observe.output);
}

// A sidecar with the ticket in force that was no member yet made tests begin
// without its upstream (feed_survival_test, UpstreamDrained).
BOOST_AUTO_TEST_CASE(StartWaitsForASlowSidecar) {
  Deployment deployment({});
  BOOST_REQUIRE(deployment.StartNetwork());
  BOOST_REQUIRE(deployment.SetStoreAccessDenied("sidecar-11", true));
  std::thread restore([&deployment] {
    std::this_thread::sleep_for(std::chrono::seconds(3));
    deployment.SetStoreAccessDenied("sidecar-11", false);
  });
  const bool started = deployment.StartDaemons();
  std::map<std::string, int> active;
  for (const std::string name : {"balancer-1", "balancer-2", "balancer-3"}) {
    active[name] = deployment.ActiveUpstreamsAt(name);
  }
  restore.join();
  BOOST_TEST(started);
  for (const auto& [name, count] : active) BOOST_TEST(count == 2, name);
}

BOOST_AUTO_TEST_CASE(ProcessesAreKilledAndRestarted) {
  Deployment deployment({});
  BOOST_REQUIRE(deployment.Start());
  deployment.Kill("balancer-1");
  deployment.SetFabricTarget(1, false);
  BOOST_TEST(deployment.TicketAt("balancer-1") == -1);
  BOOST_TEST(
      deployment.RunCaller({"get", deployment.Vip(1), "/info"}).exit_code == 0);
  deployment.Restart("balancer-1");
  BOOST_TEST(deployment.WaitForTicket(1, {"balancer-1"}));

  deployment.SetStoreAccessDenied("balancer-2", true);
  BOOST_TEST(deployment.SubmitTicket(2, {ServiceOptions{}}) == 0);
  BOOST_TEST(deployment.WaitForTicket(2, {"balancer-1", "balancer-3"}));
}

}  // namespace
}  // namespace cowslip::testing
