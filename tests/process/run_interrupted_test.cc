#define BOOST_TEST_MODULE run_interrupted
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/process/post_callers.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallers = 20;

DeploymentOptions Options(std::uint64_t seed, const char* service_ms) {
  DeploymentOptions options;
  options.seed = seed;
  options.slots = 40;
  options.upstreams_per_service = 3;
  options.services = {{.request_timeout = "8s"}};
  options.upstream_arguments = {"--service-ms", service_ms};
  return options;
}

void CheckNoViolations(PostCallers& posts) {
  for (const auto& violation : posts.FindViolations()) BOOST_ERROR(violation);
}

/// Posts before and after an event at the owner 11. In the tests below, the
/// events occur earlier and earlier in the processing of a request.
template <typename Event>
void PostAround(Deployment& deployment, const std::string& name, Event event) {
  PostCallers during(deployment, 1, name + "-during", kCallers);
  std::this_thread::sleep_for(milliseconds(300));
  event();
  PostCallers after(deployment, 1, name + "-after", kCallers);
  CheckNoViolations(during);
  CheckNoViolations(after);
}

BOOST_AUTO_TEST_CASE(OwnerKilledDuringTheRun) {
  Deployment deployment(Options(24, "2000"));
  BOOST_REQUIRE(deployment.Start());
  PostAround(deployment, "killed", [&] { deployment.Kill("sidecar-11"); });
}

BOOST_AUTO_TEST_CASE(UpstreamKilled) {
  Deployment deployment(Options(26, "2000"));
  BOOST_REQUIRE(deployment.Start());
  PostAround(deployment, "upstream", [&] {
    deployment.Kill("upstream-11");
    deployment.Restart("upstream-11");
  });
}

BOOST_AUTO_TEST_CASE(SidecarRestartedWithTheSameId) {
  Deployment deployment(Options(27, "2000"));
  BOOST_REQUIRE(deployment.Start());
  PostAround(deployment, "restarted", [&] {
    deployment.Kill("sidecar-11");
    deployment.Restart("sidecar-11");
  });
}

BOOST_AUTO_TEST_CASE(PausedSidecarIsResumed) {
  Deployment deployment(Options(28, "1000"));
  BOOST_REQUIRE(deployment.Start());
  for (const int pause : {1, 3, 8}) {
    const auto name = "paused" + std::to_string(pause);
    PostAround(deployment, name, [&] {
      deployment.Stop("sidecar-11");
      PostCallers meanwhile(deployment, 1, name + "-meanwhile", kCallers);
      std::this_thread::sleep_for(seconds(pause));
      deployment.Continue("sidecar-11");
      CheckNoViolations(meanwhile);
    });
  }
}

}  // namespace
}  // namespace cowslip::testing
