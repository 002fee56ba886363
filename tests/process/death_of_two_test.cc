#define BOOST_TEST_MODULE death_of_two
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/process/post_callers.h"

namespace cowslip::testing {
namespace {

/// One of only two upstreams dies: there is no third to confirm the death, yet
/// callers whose request it might have run get "outcome unknown".
BOOST_AUTO_TEST_CASE(LostRequestsGetOutcomeUnknown) {
  DeploymentOptions options;
  options.seed = 61;
  options.slots = 40;
  options.upstreams_per_service = 2;
  Deployment deployment(options);
  BOOST_REQUIRE(deployment.Start());
  deployment.SetFabricFaults("delay_ms=150");
  PostCallers posts(deployment, 1, "two", 20);
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  deployment.Kill("sidecar-11");
  for (const auto& violation : posts.FindViolations()) BOOST_ERROR(violation);
  BOOST_TEST(posts.timeouts() == 0);
}

}  // namespace
}  // namespace cowslip::testing
