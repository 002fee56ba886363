#define BOOST_TEST_MODULE lost_incarnation
#include <boost/test/unit_test.hpp>

#include "tests/process/deployment.h"
#include "tests/process/stored_incarnation.h"

namespace cowslip::testing {

// Requests are bound to an incarnation, so that a successor doesn't run again
// what the process before it ran. The store loses the claim of that process.
BOOST_AUTO_TEST_CASE(SuccessorDoesNotGetTheIncarnationOfALostClaim) {
  Deployment deployment{DeploymentOptions{}};
  BOOST_REQUIRE(deployment.Start());
  const auto first = StoredIncarnation(deployment, 11);
  BOOST_REQUIRE(first > 0U);
  BOOST_REQUIRE(deployment.SetStoreFault("copy"));
  const auto lost = RestartAndClaim(deployment, 11);
  BOOST_REQUIRE(lost > first);
  deployment.Kill("sidecar-11");
  BOOST_REQUIRE(deployment.SetStoreFault("restore"));
  BOOST_REQUIRE_EQUAL(StoredIncarnation(deployment, 11), first);
  deployment.Restart("sidecar-11");
  BOOST_REQUIRE(
      Eventually([&] { return StoredIncarnation(deployment, 11) > first; }));
  BOOST_TEST(StoredIncarnation(deployment, 11) > lost);
}

}  // namespace cowslip::testing
