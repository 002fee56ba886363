#define BOOST_TEST_MODULE store_restored
#include <boost/test/unit_test.hpp>

#include "tests/process/deployment.h"
#include "tests/process/stored_incarnation.h"

namespace cowslip::testing {
namespace {

bool Posts(Deployment& deployment, const std::string& claim) {
  return deployment
             .RunCaller({"post", deployment.Vip(1), "/claim", claim,
                         "--timeout-s", "8"})
             .exit_code == 0;
}

}  // namespace

// The copy has the announcement of the process before this one.
BOOST_AUTO_TEST_CASE(LostAnnouncementIsWrittenAgain) {
  Deployment deployment{DeploymentOptions{}};
  BOOST_REQUIRE(deployment.Start());
  const auto first = StoredIncarnation(deployment, 11);
  BOOST_REQUIRE(first > 0U);
  BOOST_REQUIRE(deployment.SetStoreFault("copy"));
  const auto lost = RestartAndClaim(deployment, 11);
  BOOST_REQUIRE(lost > first);
  BOOST_REQUIRE(Eventually([&] { return Posts(deployment, "before"); }));
  BOOST_REQUIRE(deployment.SetStoreFault("restore"));
  BOOST_TEST(
      Eventually([&] { return StoredIncarnation(deployment, 11) > lost; }));
  BOOST_TEST(deployment.Process("sidecar-11").IsRunning());
  BOOST_TEST(Eventually([&] { return Posts(deployment, "after"); }));
}

// The number in force goes back from 3 to 2.
BOOST_AUTO_TEST_CASE(AcceptedTicketReplacesLostOnes) {
  Deployment deployment{DeploymentOptions{}};
  BOOST_REQUIRE(deployment.Start());
  const std::vector<std::string> names = {"balancer-1", "balancer-2",
                                          "sidecar-11"};
  BOOST_REQUIRE(deployment.WaitForTicket(1, names));
  BOOST_REQUIRE(deployment.SetStoreFault("copy"));
  ServiceOptions service;
  service.idle_timeout = "61s";
  BOOST_REQUIRE(deployment.SubmitTicket(2, {service}) == 0);
  BOOST_REQUIRE(deployment.SubmitTicket(3, {service}) == 0);
  BOOST_REQUIRE(deployment.WaitForTicket(3, names));
  BOOST_REQUIRE(deployment.SetStoreFault("restore"));
  service.idle_timeout = "62s";
  BOOST_REQUIRE(deployment.SubmitTicket(2, {service}) == 0);
  BOOST_TEST(deployment.WaitForTicket(2, names));
  BOOST_TEST(Eventually([&] { return Posts(deployment, "served"); }));
}

}  // namespace cowslip::testing
