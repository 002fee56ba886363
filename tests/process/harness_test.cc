#define BOOST_TEST_MODULE harness
#include <boost/test/unit_test.hpp>

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
