#define BOOST_TEST_MODULE drain
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/process/feed_callers.h"
#include "tests/process/post_callers.h"

namespace cowslip::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after which a draining upstream gets no new flows.
constexpr seconds kNoNewWorkAfter{3};
constexpr int kCallers = 20;

DeploymentOptions Options(std::uint64_t seed, const char* service_ms) {
  DeploymentOptions options;
  options.seed = seed;
  options.slots = 40;
  options.upstream_arguments = {"--service-ms", service_ms};
  return options;
}

std::vector<std::string> UpstreamsOfNewRequests(Deployment& deployment) {
  std::vector<Caller> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(
        deployment.StartCaller({"get", deployment.Vip(1), "/info"}));
  }
  std::vector<std::string> upstreams;
  for (auto& caller : callers) {
    const auto result = caller.Finish(seconds(60));
    BOOST_TEST(result.exit_code == 0, result.output);
    const auto payload = FindField(result.output, "payload");
    upstreams.push_back(payload.substr(0, payload.find(' ')));
  }
  return upstreams;
}

/// A draining upstream with open feeds gets no new flows, although one balancer
/// and one sidecar have not received the update.
BOOST_AUTO_TEST_CASE(DrainingUpstreamGetsNoNewFlows) {
  Deployment deployment(Options(31, "0"));
  BOOST_REQUIRE(deployment.Start());
  FeedCallers feeds(deployment, 1, kCallers);
  BOOST_REQUIRE(feeds.WaitForNewNotifications().empty());
  deployment.SetStoreAccessDenied("balancer-1", true);
  deployment.SetStoreAccessDenied("sidecar-12", true);
  deployment.Terminate("sidecar-11");
  std::this_thread::sleep_for(kNoNewWorkAfter);

  for (const auto& upstream : UpstreamsOfNewRequests(deployment)) {
    BOOST_TEST(upstream == "upstream-12");
  }
  PostCallers posts(deployment, 1, "late", kCallers);
  for (const auto& violation : posts.FindViolations()) BOOST_ERROR(violation);
  BOOST_TEST(posts.done() > 0);
  for (const auto& entry : deployment.ReadJournal()) {
    BOOST_TEST(entry.upstream == "upstream-12", entry.claim);
  }
}

/// Posts and downloads in progress.
struct RequestsInProgress {
  explicit RequestsInProgress(Deployment& deployment)
      : posts(deployment, 1, "work", kCallers) {
    for (int i = 0; i < 4; ++i) {
      const auto path = "/dossier?caller-" + std::to_string(i);
      fetches.push_back(
          deployment.StartCaller({"fetch", deployment.Vip(1), path}));
    }
    std::this_thread::sleep_for(milliseconds(500));
  }

  void CheckCompleted() {
    for (const auto& violation : posts.FindViolations()) BOOST_ERROR(violation);
    BOOST_TEST(posts.done() == kCallers);
    for (auto& fetch : fetches) {
      const auto result = fetch.Finish(seconds(60));
      BOOST_TEST(FindField(result.output, "size") == "1048576", result.output);
    }
  }

  PostCallers posts;
  std::vector<Caller> fetches;
};

/// SIGTERM during requests loses none, and the process ends in bounded time.
void TerminateDuringRequests(const std::string& name, std::uint64_t seed) {
  constexpr seconds kEndLimit{30};
  Deployment deployment(Options(seed, "2000"));
  BOOST_REQUIRE(deployment.Start());
  deployment.SetFabricFaults("delay_ms=1");
  RequestsInProgress requests(deployment);
  deployment.Terminate(name);
  if (name.starts_with("balancer")) {
    std::this_thread::sleep_for(seconds(1));
    deployment.SetFabricTarget(std::stoi(name.substr(9)), false);
  }
  requests.CheckCompleted();
  const auto code = deployment.Process(name).WaitForExit(kEndLimit);
  BOOST_TEST((code == 0), name << " ended with " << code.value_or(-1));
}

BOOST_AUTO_TEST_CASE(BalancerTerminated) {
  TerminateDuringRequests("balancer-2", 32);
}
BOOST_AUTO_TEST_CASE(SidecarTerminated) {
  TerminateDuringRequests("sidecar-11", 33);
}

/// Both get SIGTERM at the same time, the sidecar before its upstream.
BOOST_AUTO_TEST_CASE(SidecarAndBalancerTerminated) {
  Deployment deployment(Options(34, "2000"));
  BOOST_REQUIRE(deployment.Start());
  deployment.SetFabricFaults("delay_ms=1");
  RequestsInProgress requests(deployment);
  deployment.Terminate("balancer-3");
  deployment.Terminate("sidecar-12");
  std::this_thread::sleep_for(seconds(1));
  deployment.SetFabricTarget(3, false);
  requests.CheckCompleted();
  BOOST_TEST((deployment.Process("balancer-3").WaitForExit(seconds(30)) == 0));
  BOOST_TEST((deployment.Process("sidecar-12").WaitForExit(seconds(30)) == 0));
}

}  // namespace
}  // namespace cowslip::testing
