// Lookups of the owner of a flow: what members answer, what may be concluded
// from it, and what it costs.
#define BOOST_TEST_MODULE owner_lookup
#include <boost/test/unit_test.hpp>

#include "segment/simulation.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Adds a service of several sidecars whose upstreams accept connections.
void AddService(Simulation& sim, int sidecars,
                const FakeUpstream::Options& options = {}) {
  for (int i = 0; i < sidecars; ++i) sim.AddSidecar(i, "vault", options);
  sim.SetRoutes(1, "vault");
  sim.UpdateAllMembers();
  for (int i = 0; i < sidecars; ++i) sim.Report(i);
}

int Count(Simulation& sim, CallState state) {
  int count = 0;
  for (const auto& caller : sim.callers()) count += caller->state() == state;
  return count;
}

void OpenCallers(Simulation& sim, int callers, milliseconds gap) {
  for (int i = 0; i < callers; ++i) {
    sim.AddCaller().Open();
    sim.Run(gap);
  }
}

/// Restarts an upstream and its sidecar, as after a power loss.
void RestartMember(Simulation& sim, int index) {
  sim.RestartUpstream(index);
  sim.RestartSidecar(index);
  sim.Report(index);
}

}  // namespace

// Platform day lienthep-gw-grown trouble-1: sidecars restart beside processes
// that return each packet and send no report. They stayed undecided for as long
// as packets came.
BOOST_AUTO_TEST_CASE(ReturnedPacketsAloneAreNoSignOfAnUpstream) {
  Simulation sim;
  sim.AddBalancer(0);
  AddService(sim, 4);
  constexpr int kCallers = 24;
  OpenCallers(sim, kCallers, milliseconds(20));
  sim.Run(seconds(1));
  for (int i = 0; i < 3; ++i) RestartMember(sim, i);
  // An upstream without flows that sends no reports.
  sim.RestartUpstream(3);
  sim.RestartSidecar(3);
  sim.AddBalancer(1);
  sim.SetRoutes(2, "vault");
  sim.UpdateAllMembers();
  sim.RouteCallersTo(1);
  // A packet of another flow every 100 ms, as each is returned only once.
  for (int i = 0; i < kCallers; ++i) {
    sim.callers()[i]->Ask();
    sim.Run(milliseconds(100));
  }
  BOOST_TEST(sim.upstream(3).not_owned() > 0);
  BOOST_TEST(sim.sidecar(3).has_no_upstream());
  sim.UpdateMembers(1, "vault", {0, 1, 2});
  for (auto& caller : sim.callers()) caller->Ask();
  sim.Run(milliseconds(300));
  BOOST_TEST(Count(sim, CallState::kReset) == kCallers);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// A returned packet is a sign of life of an upstream whose reports arrive, so
// that a delayed one is not taken for a crash.
BOOST_AUTO_TEST_CASE(ReturnedPacketsOfAReportingUpstreamAreASignOfLife) {
  UpstreamLivenessTimer timer;
  TimePoint now{seconds(1000)};
  const auto run = [&](int ticks) {
    for (int i = 0; i < ticks; ++i) timer.OnTick(now += milliseconds(20));
  };
  timer.OnReport();
  for (int i = 0; i < 40; ++i) {
    run(5);
    timer.OnReturned();
  }
  BOOST_TEST(!timer.is_missing());
  run(120);
  BOOST_TEST(timer.is_missing());
}

// An unresponsive member explains that no flow is reset. The log named a member
// that is undecided for two seconds in its place.
BOOST_AUTO_TEST_CASE(UnresponsiveMemberIsTheReasonThatIsLogged) {
  Simulation sim;
  sim.AddBalancer(0);
  AddService(sim, 4);
  OpenCallers(sim, 20, milliseconds(20));
  sim.Run(seconds(1));
  for (int i = 0; i < 2; ++i) RestartMember(sim, i);
  sim.upstream(2).Crash();
  sim.RestartSidecar(2);
  sim.Isolate(Simulation::SidecarAddress(3));
  sim.AddBalancer(1);
  sim.SetRoutes(2, "vault");
  sim.UpdateAllMembers();
  sim.RouteCallersTo(1);
  // Two packets without an acknowledgement: the sidecar is unresponsive.
  for (int i = 0; i < 10; ++i) sim.callers()[i]->Ask();
  sim.Run(milliseconds(1000));
  const auto count = [&](const std::string& reason) {
    return sim.decisions("end_lookup", reason) +
           sim.decisions("shorten_lookup", reason);
  };
  const int undecided = count("member_undecided");
  const int unresponsive = count("member_unresponsive");
  for (int i = 10; i < 20; ++i) sim.callers()[i]->Ask();
  sim.Run(milliseconds(150));
  BOOST_TEST(count("member_undecided") == undecided);
  BOOST_TEST(count("member_unresponsive") > unresponsive);
  BOOST_TEST(sim.wrong_resets() == 0);
}

}  // namespace cowslip::segment::test
