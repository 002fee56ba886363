// Tests with real processes that requests wait in the sidecars, not in the
// queues of the upstreams, where the routes have a class.
#define BOOST_TEST_MODULE platform_scheduling
#include <boost/test/unit_test.hpp>

#include "tests/platform/loop_runner.h"
#include "tests/platform/site_fixture.h"

namespace cowslip::platform_adapter::test {
namespace {

using segment::test::CallState;
using segment::test::FakeCaller;
using standins::Site;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Open flows, several times as many as the upstreams have slots.
constexpr int kFlows = 120;

/// A site with open flows to one service.
struct Fixture : SiteFixture {
  Fixture(int number, const char* route_fields) : SiteFixture(number) {
    site->SetRouteFields(route_fields);
    std::map<Endpoint, std::string> routes;
    routes[Site::RouteAddress(0)] = Site::ServiceName(0);
    checks.OnConfigured(site->Configure(routes), routes);
    RunFor(site->loop(), seconds(2));
    for (int i = 0; i < kFlows; ++i) {
      callers.push_back(&site->Open(Site::RouteAddress(0)));
      RunFor(site->loop(), milliseconds(10));
    }
    RunFor(site->loop(), milliseconds(500));
  }

  /// Sends a request on each flow at once.
  void AskAll() {
    for (auto* caller : callers) caller->Ask();
    RunFor(site->loop(), seconds(3));
  }
  int Answered() const {
    int answered = 0;
    for (const auto* caller : callers) {
      answered += caller->state() == CallState::kAnswered;
    }
    return answered;
  }
  int Refused() const {
    int refused = 0;
    for (const auto& upstream : site->upstreams()) {
      refused += upstream->refused();
    }
    return refused;
  }

  std::vector<FakeCaller*> callers;
};

struct ClassFixture : Fixture {
  ClassFixture()
      : Fixture(29, R"(,"priority":1,"sloMs":300,"timeoutMs":4000)") {}
};

struct PlainFixture : Fixture {
  PlainFixture() : Fixture(30, "") {}
};

}  // namespace

// Guards against requests that reach the queue of an upstream, which refuses
// those that it has no room for.
BOOST_FIXTURE_TEST_CASE(RequestsWithAClassWaitInTheSidecar, ClassFixture) {
  AskAll();
  BOOST_TEST(Answered() == kFlows);
  BOOST_TEST(Refused() == 0);
}

// Guards against a load that the case above would pass without scheduling, and
// against a change where the configuration doesn't call for it.
BOOST_FIXTURE_TEST_CASE(RequestsWithoutAClassPassAtOnce, PlainFixture) {
  AskAll();
  BOOST_TEST(Answered() == kFlows);
  BOOST_TEST(Refused() > 0);
}

}  // namespace cowslip::platform_adapter::test
