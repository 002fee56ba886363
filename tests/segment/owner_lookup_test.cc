// Lookups of the owner of a flow: what members answer, what may be concluded
// from it, and what it costs.
#define BOOST_TEST_MODULE owner_lookup
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

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

/// Replaces balancer 0 by one that has just started and knows all members.
void RestartBalancer(Simulation& sim) {
  sim.AddBalancer(0);
  sim.SetRoutes(1, "vault");
  sim.UpdateAllMembers();
}

/// A site whose flows are owned by the first members; the others have joined
/// afterwards, so that most owners rank after the first visit of a lookup.
void OpenCallersBeforeJoins(Simulation& sim, int owners, int members,
                            int callers) {
  AddService(sim, owners, {.slots = 8});
  OpenCallers(sim, callers, milliseconds(5));
  for (int i = owners; i < members; ++i) {
    sim.AddSidecar(i, "vault", {.slots = 8});
    sim.Report(i);
  }
  RestartBalancer(sim);
  sim.Run(seconds(1));
}

/// Restarts an upstream and its sidecar, as after a power loss.
void RestartMember(Simulation& sim, int index) {
  sim.RestartUpstream(index);
  sim.RestartSidecar(index);
  sim.Report(index);
}

}  // namespace

// Guards against sidecars that stay undecided for as long as packets come: they
// restart beside processes that return each packet and send no report.
BOOST_AUTO_TEST_CASE(ReturnedPacketsAloneAreNoEvidenceOfAnUpstream) {
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

// Guards against machines that are taken away 2.2 s after a power loss, before
// two reports of 1.2 s are overdue: nobody could tell afterwards that they had
// no upstream, and no lost flow was reset for 70 s.
BOOST_AUTO_TEST_CASE(ProcessThatOnlyReturnsPacketsIsNoUpstream) {
  struct Case {
    int returned;
    bool active;
    milliseconds missing_after;
  };
  for (const auto& each :
       {Case{3, false, milliseconds(2000)}, Case{2, false, milliseconds(2600)},
        Case{3, true, milliseconds(2600)}}) {
    UpstreamLivenessTimer timer;
    timer.SetReportInterval(milliseconds(1200));
    TimePoint now{seconds(1000)};
    timer.OnTick(now);
    if (each.active) timer.OnActivity();
    for (int i = 0; i < each.returned; ++i) timer.OnReturned();
    for (auto time = milliseconds(0); time < each.missing_after;
         time += milliseconds(20)) {
      BOOST_TEST(!timer.is_missing());
      timer.OnTick(now += milliseconds(20));
    }
    timer.OnTick(now += milliseconds(20));
    BOOST_TEST(timer.is_missing());
  }
}

// A returned packet is evidence of an upstream whose reports arrive, so
// that a delayed one is not taken for a crash.
BOOST_AUTO_TEST_CASE(ReturnedPacketsOfAReportingUpstreamAreEvidence) {
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

namespace {

constexpr int kLostFlows = 1000;

/// A site that has just lost all flows to a power cut.
void LoseAllFlows(Simulation& sim, int members, int callers) {
  sim.AddBalancer(0);
  AddService(sim, members, {.slots = 8});
  OpenCallers(sim, callers, milliseconds(2));
  sim.Run(seconds(1));
  for (int i = 0; i < members; ++i) RestartMember(sim, i);
  RestartBalancer(sim);
  sim.Run(seconds(1));
}

void AskAll(Simulation& sim) {
  for (auto& caller : sim.callers()) caller->Ask();
}

/// @return the time until the first caller got a reset, and all within `limit`.
milliseconds FirstReset(Simulation& sim, milliseconds limit) {
  const auto start = sim.now();
  while (Count(sim, CallState::kReset) == 0 && sim.now() - start < limit) {
    sim.Run(milliseconds(1));
  }
  return std::chrono::duration_cast<milliseconds>(sim.now() - start);
}

/// @return the bytes that one visit of all members one after the other takes,
/// in groups of 12 with their acknowledgements.
std::size_t VisitAll(Simulation& sim, int members, const FlowKey& flow) {
  Segment segment;
  segment.flow = flow;
  segment.ack_flag = true;
  std::size_t bytes = 0;
  for (int first = 0; first < members; first += kMaxHops) {
    SegmentFrame frame;
    frame.service = TagOf("vault");
    frame.balancer = Simulation::BalancerAddress(0);
    frame.searched = true;
    for (int i = first;
         i < std::min<int>(members, first + static_cast<int>(kMaxHops)); ++i) {
      frame.hops[frame.hop_count++] = Simulation::SidecarAddress(i);
    }
    Outbox out;
    out.SendFrame(frame.hops[0], frame, Bytes(sizeof(Segment)));
    while (!out.effects().empty()) {
      Outbox next;
      for (const auto& effect : out.effects()) {
        const auto datagram = out.Datagram(effect);
        bytes += datagram.size();
        if (KindOf(datagram) != FrameKind::kSegment) continue;
        ByteView packet;
        const auto read = DecodeSegmentFrame(datagram, packet);
        BOOST_REQUIRE(read.has_value());
        const auto index =
            static_cast<int>(effect.instance - Simulation::SidecarAddress(0));
        sim.sidecar(index).OnFrame(*read, segment, packet, sim.now(), next);
      }
      out = std::move(next);
    }
  }
  return bytes;
}

}  // namespace

// Guards the bounds of the design: the time of the first reset, and bytes at
// most a fifth of those of the method before.
BOOST_AUTO_TEST_CASE(ThousandLostFlowsAreResetInOneExchange) {
  constexpr int kMembers = 62;
  Simulation sim;
  LoseAllFlows(sim, kMembers, kLostFlows);
  const auto bytes = sim.bytes();
  const auto datagrams = sim.datagrams();
  AskAll(sim);
  const auto first = FirstReset(sim, seconds(1));
  BOOST_TEST((first <= milliseconds(60)));
  sim.Run(milliseconds(600) - first);
  BOOST_TEST(Count(sim, CallState::kReset) == kLostFlows);
  BOOST_TEST(sim.wrong_resets() == 0);
  const auto used = sim.bytes() - bytes;
  const auto& flow = sim.callers().front()->flow();
  // The method before visited all members, then the first group once more.
  const auto visits = kLostFlows * (VisitAll(sim, kMembers, flow) +
                                    VisitAll(sim, kMaxHops, flow));
  BOOST_TEST_MESSAGE("first reset after "
                     << first.count() << " ms, " << used / kLostFlows
                     << " bytes and "
                     << static_cast<double>(sim.datagrams() - datagrams) /
                            kLostFlows
                     << " datagrams a flow; visits " << visits / kLostFlows
                     << " bytes");
  BOOST_TEST(used * 5 <= visits);
  const auto& stats = sim.balancer(0).stats();
  // Each member is asked at most twice about a flow.
  BOOST_TEST(stats.owner_query_flows <= 2U * kMembers * kLostFlows);
}

// What lookups of lost flows cost as the site grows, as in docs/CAPACITY.md.
// The budget of queries binds where asking all members is too much.
BOOST_DATA_TEST_CASE(CostOfLostFlowsIsBounded,
                     boost::unit_test::data::make({62, 300, 1500, 4300}),
                     members) {
  Simulation sim;
  LoseAllFlows(sim, members, kLostFlows);
  const auto bytes = sim.bytes();
  const auto datagrams = sim.datagrams();
  AskAll(sim);
  const auto first = FirstReset(sim, milliseconds(600));
  sim.Run(milliseconds(600) - first);
  const int resets = Count(sim, CallState::kReset);
  const auto& stats = sim.balancer(0).stats();
  const auto queries = stats.owner_queries;
  const double all = static_cast<double>(sim.datagrams() - datagrams);
  const auto used = sim.bytes() - bytes;
  sim.Run(milliseconds(3400));
  BOOST_TEST_MESSAGE(
      members << " members, 0.6 s: " << resets << " resets, first "
              << first.count() << " ms, " << queries << " queries, "
              << all / kLostFlows << " datagrams and " << used / kLostFlows
              << " bytes a flow; 4 s: " << Count(sim, CallState::kReset)
              << " resets, " << stats.owner_queries << " queries, "
              << (sim.bytes() - bytes) / 1000 << " kB");
  constexpr double kSeconds = 4.0;
  BOOST_TEST(static_cast<double>(stats.owner_queries) <=
             OwnerLookup::kQueryBurst +
                 OwnerLookup::kQueriesPerSecond * kSeconds +
                 RetryBudget::kBurst + RetryBudget::kMinPerSecond * kSeconds);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// Queries must not fill a slow link: new connections wait behind at most
// OwnerLookup::kMaxOutstanding of them.
BOOST_AUTO_TEST_CASE(QueriesLeaveASlowLinkToNewConnections) {
  Simulation sim;
  LoseAllFlows(sim, 62, kLostFlows);
  constexpr double kTenMegabits = 10e6 / 8;
  sim.LimitLink(Simulation::BalancerAddress(0), kTenMegabits);
  AskAll(sim);
  sim.Run(milliseconds(100));
  constexpr int kNew = 50;
  OpenCallers(sim, kNew, milliseconds(10));
  sim.Run(seconds(1));
  Duration longest{};
  for (int i = kLostFlows; i < kLostFlows + kNew; ++i) {
    const auto& caller = *sim.callers()[i];
    BOOST_TEST((caller.state() == CallState::kAnswered));
    longest = std::max(longest, caller.elapsed());
  }
  // The acknowledgements of the first visits, 192 kB, take 154 ms.
  BOOST_TEST((longest <= milliseconds(250)));
  sim.Run(seconds(3));
  BOOST_TEST_MESSAGE(
      "10 Mbit/s: longest new connection "
      << std::chrono::duration_cast<milliseconds>(longest).count() << " ms, "
      << Count(sim, CallState::kReset) << " resets");
  // The queries of the others did not fit into the lifetimes of their lookups.
  BOOST_TEST(Count(sim, CallState::kReset) >= kLostFlows * 9 / 10);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// A flow that a member after the first twelve owns is delivered in one
// exchange, before its caller sends the packet again.
BOOST_AUTO_TEST_CASE(OwnerBeyondTheFirstVisitIsFoundInOneExchange) {
  constexpr int kCallers = 60;
  Simulation sim;
  sim.AddBalancer(0);
  OpenCallersBeforeJoins(sim, 4, 62, kCallers);
  const auto not_owned = [&] {
    int count = 0;
    for (int i = 0; i < 62; ++i) count += sim.upstream(i).not_owned();
    return count;
  };
  AskAll(sim);
  sim.Run(milliseconds(190));
  BOOST_TEST(Count(sim, CallState::kAnswered) == kCallers);
  BOOST_TEST(not_owned() == 0);
  BOOST_TEST(sim.balancer(0).stats().owner_replies > 0U);
}

// No reset while a member doesn't answer, whether it owns the flow or not.
BOOST_AUTO_TEST_CASE(FrozenMemberPreventsResets) {
  Simulation sim;
  LoseAllFlows(sim, 62, 100);
  sim.Isolate(Simulation::SidecarAddress(40));
  AskAll(sim);
  sim.Run(seconds(3));
  BOOST_TEST(Count(sim, CallState::kReset) == 0);
  BOOST_TEST(!sim.balancer(0).HasOwnerLookups());
  BOOST_TEST(sim.decisions("ask_members", "member_silent") > 0);
  // Once it answers again, the flows are reset.
  sim.Heal(Simulation::SidecarAddress(40));
  sim.Run(seconds(1));
  AskAll(sim);
  sim.Run(seconds(1));
  BOOST_TEST(Count(sim, CallState::kReset) == 100);
  BOOST_TEST(sim.wrong_resets() == 0);
}

BOOST_AUTO_TEST_CASE(FlowsOfAFrozenMemberAreNotReset) {
  constexpr int kCallers = 60;
  Simulation sim;
  sim.AddBalancer(0);
  OpenCallersBeforeJoins(sim, 4, 62, kCallers);
  for (int i = 0; i < 4; ++i) sim.Isolate(Simulation::SidecarAddress(i));
  AskAll(sim);
  sim.Run(seconds(1));
  BOOST_TEST(Count(sim, CallState::kReset) == 0);
  for (int i = 0; i < 4; ++i) sim.Heal(Simulation::SidecarAddress(i));
  sim.Run(milliseconds(2500));
  BOOST_TEST(Count(sim, CallState::kAnswered) == kCallers);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// The reply is that of a new process, which has no proof and says so; the
// upstream, which owns the flow, is asked with the packet.
BOOST_AUTO_TEST_CASE(SidecarRestartedBetweenQueryAndReply) {
  constexpr int kCallers = 60;
  Simulation sim;
  sim.AddBalancer(0);
  OpenCallersBeforeJoins(sim, 4, 62, kCallers);
  AskAll(sim);
  const auto& stats = sim.balancer(0).stats();
  while (stats.owner_queries == 0) sim.Run(std::chrono::microseconds(100));
  BOOST_REQUIRE(stats.owner_replies == 0U);
  for (int i = 0; i < 4; ++i) sim.RestartSidecar(i);
  sim.Run(milliseconds(5));
  for (int i = 0; i < 4; ++i) sim.Report(i);
  sim.Run(milliseconds(1000));
  BOOST_TEST(Count(sim, CallState::kAnswered) == kCallers);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// The upstream has lost the flow after its sidecar has said that it owns it.
// The lookup must neither reset the flow from that answer nor go on for ever.
BOOST_AUTO_TEST_CASE(OwnerThatLosesTheFlowEndsTheLookup) {
  constexpr int kCallers = 60;
  Simulation sim;
  sim.AddBalancer(0);
  OpenCallersBeforeJoins(sim, 4, 62, kCallers);
  AskAll(sim);
  const auto& stats = sim.balancer(0).stats();
  while (stats.owner_replies == 0) sim.Run(std::chrono::microseconds(100));
  for (int i = 0; i < 4; ++i) RestartMember(sim, i);
  sim.Run(seconds(3));
  BOOST_TEST(Count(sim, CallState::kWaiting) == 0);
  BOOST_TEST(!sim.balancer(0).HasOwnerLookups());
  BOOST_TEST(sim.wrong_resets() == 0);
}

// Earlier builds ignore queries: their members are visited one after the other,
// with the same result.
BOOST_DATA_TEST_CASE(LostFlowsAreResetAmongEarlierBuilds,
                     boost::unit_test::data::make({1, 20, 40}), earlier) {
  Simulation sim;
  LoseAllFlows(sim, 40, 20);
  for (int i = 0; i < earlier; ++i) sim.UseEarlierBuild(i);
  AskAll(sim);
  sim.Run(seconds(2));
  BOOST_TEST(Count(sim, CallState::kReset) == 20);
  BOOST_TEST(sim.wrong_resets() == 0);
}

BOOST_AUTO_TEST_CASE(OwnerOfAnEarlierBuildIsFound) {
  constexpr int kCallers = 40;
  Simulation sim;
  sim.AddBalancer(0);
  OpenCallersBeforeJoins(sim, 4, 40, kCallers);
  for (int i = 0; i < 40; ++i) sim.UseEarlierBuild(i);
  AskAll(sim);
  sim.Run(seconds(2));
  BOOST_TEST(Count(sim, CallState::kAnswered) == kCallers);
  BOOST_TEST(sim.wrong_resets() == 0);
}

namespace {

enum class UndecidedMember { kWithoutUpstream, kRestartedAlone };

std::ostream& operator<<(std::ostream& out, UndecidedMember kind) {
  return out << (kind == UndecidedMember::kWithoutUpstream ? "without upstream"
                                                           : "restarted alone");
}

}  // namespace

// Lookups among a thousand members that can't tell must not flood them, and no
// flow is reset.
BOOST_DATA_TEST_CASE(
    LookupsAmongAThousandUndecidedMembersAreBounded,
    boost::unit_test::data::make({UndecidedMember::kWithoutUpstream,
                                  UndecidedMember::kRestartedAlone}),
    kind) {
  constexpr int kMembers = 1000;
  constexpr int kCallers = 200;
  Simulation sim;
  sim.AddBalancer(0);
  AddService(sim, kMembers);
  OpenCallers(sim, kCallers, milliseconds(2));
  sim.Run(seconds(1));
  for (int i = 0; i < kMembers; ++i) {
    if (kind == UndecidedMember::kWithoutUpstream) {
      sim.upstream(i).Crash();
      sim.RestartSidecar(i);
    } else {
      sim.RestartSidecar(i);
      sim.Report(i);
    }
  }
  // Flows that no member owns, beside those that some do.
  for (int i = 0; i < 100 && kind == UndecidedMember::kRestartedAlone; ++i) {
    sim.RestartUpstream(i);
  }
  RestartBalancer(sim);
  sim.Run(milliseconds(300));
  const auto datagrams = sim.datagrams();
  AskAll(sim);
  sim.Run(milliseconds(1500));
  const auto used = sim.datagrams() - datagrams;
  BOOST_TEST_MESSAGE(used << " datagrams in 1.5 s");
  // Queries and replies; visits after them; the first visits of each packet.
  const double queries =
      2 * (OwnerLookup::kQueryBurst + OwnerLookup::kQueriesPerSecond * 1.5);
  constexpr double kVisits = (200 + 100 * 1.5) * 36;
  constexpr double kFirstVisits = 4 * kCallers * 36;
  BOOST_TEST(static_cast<double>(used) <= queries + kVisits + kFirstVisits);
  BOOST_TEST(sim.wrong_resets() == 0);
  sim.Run(seconds(5));
  BOOST_TEST(!sim.balancer(0).HasOwnerLookups());
  BOOST_TEST(sim.wrong_resets() == 0);
}

// Random restarts, freezes, joins and leaves on lossy links, with lookups that
// need queries: no flow of a running upstream is ever reset, and all lookups
// end.
BOOST_DATA_TEST_CASE(LossNeverCausesAFalseReset,
                     boost::unit_test::data::make({0.01, 0.1, 0.3}), loss) {
  constexpr int kMembers = 30;
  constexpr int kOwners = 6;
  int resets = 0;
  std::uint64_t replies = 0;
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    Simulation sim(seed);
    std::mt19937_64 random(seed * 1000003);
    const auto random_index = [&](int count) {
      return static_cast<int>(random() % count);
    };
    sim.AddBalancer(0);
    sim.AddBalancer(1);
    AddService(sim, kOwners, {.slots = 8});
    OpenCallers(sim, 60, milliseconds(5));
    for (int i = kOwners; i < kMembers; ++i) {
      sim.AddSidecar(i, "vault", {.slots = 8});
      sim.Report(i);
      if (random_index(4) == 0) sim.UseEarlierBuild(i);
    }
    sim.SetRoutes(1, "vault");
    sim.UpdateAllMembers();
    sim.SetLoss(loss);
    std::vector<int> members(kMembers);
    for (int i = 0; i < kMembers; ++i) members[i] = i;
    for (int step = 0; step < 40; ++step) {
      const int target = random_index(kMembers);
      switch (random_index(10)) {
        case 0:
          sim.RestartSidecar(target);
          break;
        case 1:
          sim.RestartSidecar(target);
          sim.Report(target);
          break;
        case 2:
          RestartMember(sim, random_index(kOwners));
          break;
        case 3:
          sim.Isolate(Simulation::SidecarAddress(target));
          break;
        case 4:
          sim.AddBalancer(random_index(2));
          sim.SetRoutes(1, "vault");
          sim.UpdateAllMembers();
          break;
        case 5:
          // A member that owns nothing leaves, and is back later.
          if (target >= kOwners) std::erase(members, target);
          sim.UpdateMembers(0, "vault", members);
          break;
        default:
          for (int i = 0; i < kMembers; ++i) {
            sim.Heal(Simulation::SidecarAddress(i));
          }
          break;
      }
      sim.RouteCallersTo(random_index(2));
      for (auto& caller : sim.callers()) {
        if (caller->open() && random_index(4) == 0) caller->Ask();
      }
      sim.Run(milliseconds(10 + random_index(120)));
    }
    for (int i = 0; i < kMembers; ++i) sim.Heal(Simulation::SidecarAddress(i));
    sim.Run(seconds(7));
    resets += Count(sim, CallState::kReset);
    BOOST_TEST(sim.wrong_resets() == 0, "seed " << seed);
    for (int i = 0; i < 2; ++i) {
      BOOST_TEST(!sim.balancer(i).HasOwnerLookups(), "seed " << seed);
      replies += sim.balancer(i).stats().owner_replies;
    }
  }
  BOOST_TEST_MESSAGE("loss " << loss << ": " << resets << " resets, " << replies
                             << " replies");
  BOOST_TEST(replies > 0U);
  // With 30 % loss the visits of earlier builds hardly ever end with certainty.
  constexpr double kMaxLossWithResets = 0.1;
  if (loss <= kMaxLossWithResets) BOOST_TEST(resets > 0);
}

namespace {

FlowKey MakeFlow(std::uint16_t port) {
  return {{0x64400001, port}, {0xC6120001, 443}};
}

/// A balancer without a network, whose members a test plays.
class LoneBalancer {
 public:
  explicit LoneBalancer(int members)
      : balancer_(1, observer_, TimePoint(seconds(1000))) {
    SetMembers(members);
    balancer_.OnMembershipComplete(now_);
    balancer_.SetRoutes(Simulation::MakeRoutes(1, "vault"), true, now_);
    now_ += seconds(2);
  }

  void SetMembers(int members) {
    std::vector<Member> list;
    list.reserve(static_cast<std::size_t>(members));
    for (int i = 0; i < members; ++i) {
      list.push_back({Simulation::SidecarAddress(i), true});
    }
    balancer_.SetMembers(TagOf("vault"), list, now_);
  }
  void SetRoutes(std::uint64_t version) {
    balancer_.SetRoutes(Simulation::MakeRoutes(version, "vault"), true, now_);
  }

  /// Looks up a flow that all members say they don't own.
  /// @param between called between the two queries.
  template <typename Change>
  void LookUpLostFlow(const Change& between) {
    LookUp(MakeFlow(1));
    for (const auto& [member, query] : Run(milliseconds(15))) {
      Reply(member, query.number, query.flow_count);
    }
    between();
    for (const auto& [member, query] : Run(milliseconds(60))) {
      Reply(member, query.number, query.flow_count);
    }
  }

  /// A packet of a flow that the balancer doesn't know, and the acknowledgement
  /// of the last member of its first visit.
  void LookUp(const FlowKey& flow) {
    Segment packet;
    packet.flow = flow;
    packet.ack_flag = true;
    out_.Clear();
    balancer_.OnPacket(packet, Bytes(40), now_, out_);
    BOOST_REQUIRE(out_.effects().size() == 1U);
    ByteView inner;
    const auto frame =
        DecodeSegmentFrame(out_.Datagram(out_.effects()[0]), inner);
    BOOST_REQUIRE(frame.has_value());
    Ack ack;
    ack.verdict = AckStatus::kNotFound;
    ack.open = true;
    ack.free_slots = 8;
    ack.flow = flow;
    const auto last = frame->hops[frame->hop_count - 1];
    balancer_.OnAck(last, ack, now_, out_);
  }

  /// Runs for a time. @return the queries that were sent, with their receivers.
  std::multimap<InstanceAddress, OwnerQuery> Run(milliseconds time) {
    std::multimap<InstanceAddress, OwnerQuery> queries;
    for (const auto end = now_ + time; now_ < end; now_ += milliseconds(1)) {
      out_.Clear();
      balancer_.OnTick(now_, out_);
      for (const auto& effect : out_.effects()) {
        if (effect.kind == EffectKind::kResetCaller) ++resets_;
        if (effect.kind != EffectKind::kSendToInstance) continue;
        const auto query = DecodeOwnerQuery(out_.Datagram(effect));
        if (!query) continue;
        queries.emplace(effect.instance, *query);
        sent_at_[effect.instance].push_back(now_);
      }
    }
    return queries;
  }

  void Reply(InstanceAddress member, std::uint64_t number, std::uint8_t flows) {
    OwnerReply reply;
    reply.number = number;
    reply.flow_count = flows;
    reply.not_owned = flows == 64 ? ~0ULL : (1ULL << flows) - 1;
    reply.state.open = true;
    reply.state.free_slots = 8;
    out_.Clear();
    balancer_.OnOwnerReply(member, reply, now_, out_);
    for (const auto& effect : out_.effects()) {
      if (effect.kind == EffectKind::kResetCaller) ++resets_;
    }
  }

  Balancer& balancer() { return balancer_; }
  int resets() const { return resets_; }
  const std::map<InstanceAddress, std::vector<TimePoint>>& sent_at() const {
    return sent_at_;
  }

 private:
  class SilentObserver final : public Observer {
    void OnDecision(const FlowDecision&) override {}
  };

  SilentObserver observer_;
  TimePoint now_{seconds(1000)};
  Balancer balancer_;
  Outbox out_;
  int resets_ = 0;
  std::map<InstanceAddress, std::vector<TimePoint>> sent_at_;
};

}  // namespace

// Replies to an earlier query, or to a process before this one, tell what
// members knew then, and of which flows is not known.
BOOST_AUTO_TEST_CASE(ReplyOfAnEarlierQueryIsIgnored) {
  LoneBalancer lone(14);
  lone.LookUp(MakeFlow(1));
  const auto first = lone.Run(milliseconds(15));
  BOOST_REQUIRE(first.size() == 2U);
  const auto number = first.begin()->second.number;
  for (const auto& [member, query] : first) {
    lone.Reply(member, number - 1, 1);
    lone.Reply(member, 1, 1);
  }
  // They are sent again, as no reply counts, with the same number.
  const auto repeated = lone.Run(milliseconds(60));
  BOOST_REQUIRE(repeated.size() == 2U);
  for (const auto& [member, query] : repeated) {
    BOOST_TEST(query.number == number);
    lone.Reply(member, number, 1);
  }
  const auto second = lone.Run(milliseconds(39));
  BOOST_REQUIRE(second.size() == 14U);
  for (const auto& [member, query] : second) {
    BOOST_TEST(query.number > number);
    // Late copies of replies to the first query.
    lone.Reply(member, number, 1);
  }
  BOOST_TEST(lone.resets() == 0);
  for (const auto& [member, query] : second) {
    lone.Reply(member, query.number, 1);
  }
  BOOST_TEST(lone.resets() == 1);
}

// A reply with another number of flows than the query can't be assigned to
// them.
BOOST_AUTO_TEST_CASE(ReplyWithAnotherFlowCountIsIgnored) {
  LoneBalancer lone(14);
  lone.LookUp(MakeFlow(1));
  for (const auto& [member, query] : lone.Run(milliseconds(15))) {
    lone.Reply(member, query.number, 2);
  }
  BOOST_TEST(lone.Run(milliseconds(60)).size() == 2U);
}

// A suspension discards lookups; replies that waited in the socket are ignored.
BOOST_AUTO_TEST_CASE(ReplyFromBeforeASuspensionIsIgnored) {
  LoneBalancer lone(14);
  lone.LookUp(MakeFlow(1));
  const auto queries = lone.Run(milliseconds(15));
  BOOST_REQUIRE(queries.size() == 2U);
  lone.balancer().OnResume(TimePoint(seconds(1010)));
  BOOST_TEST(!lone.balancer().HasOwnerLookups());
  for (const auto& [member, query] : queries) {
    lone.Reply(member, query.number, 1);
  }
  BOOST_TEST(!lone.balancer().HasOwnerLookups());
  BOOST_TEST(lone.Run(milliseconds(100)).empty());
  BOOST_TEST(lone.resets() == 0);
}

// What changes during a lookup may hide an owner: it must not end in a reset.
BOOST_AUTO_TEST_CASE(ChangesDuringALookupPreventResets) {
  LoneBalancer unchanged(20);
  unchanged.LookUpLostFlow([] {});
  BOOST_TEST(unchanged.resets() == 1);

  LoneBalancer joined(20);
  joined.LookUpLostFlow([&] { joined.SetMembers(21); });
  BOOST_TEST(joined.resets() == 0);

  LoneBalancer left(20);
  left.LookUpLostFlow([&] { left.SetMembers(19); });
  BOOST_TEST(left.resets() == 0);

  LoneBalancer moved(20);
  moved.LookUpLostFlow([&] { moved.SetRoutes(2); });
  BOOST_TEST(moved.resets() == 0);

  LoneBalancer suspended(20);
  suspended.LookUpLostFlow(
      [&] { suspended.balancer().OnResume(TimePoint(seconds(1010))); });
  BOOST_TEST(suspended.resets() == 0);
}

// A query that waited through the sidecar's suspension gets no reply: its
// lookup has ended, and the sidecar has yet to handle what its upstream sent.
BOOST_AUTO_TEST_CASE(SidecarDropsQueriesOfItsBacklog) {
  Simulation sim;
  sim.AddBalancer(0);
  AddService(sim, 1);
  OwnerQuery query;
  query.Add({MakeFlow(1), 0, true});
  Bytes wire;
  AppendOwnerQuery(query, wire);
  Outbox out;
  sim.sidecar(0).OnControlDatagram(1, wire, /*backlog=*/true, sim.now(), out);
  BOOST_TEST(out.effects().empty());
  BOOST_TEST(sim.sidecar(0).stats().outdated == 1U);
  sim.sidecar(0).OnControlDatagram(1, wire, /*backlog=*/false, sim.now(), out);
  BOOST_REQUIRE(out.effects().size() == 1U);
  const auto reply = DecodeOwnerReply(out.Datagram(out.effects()[0]));
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST(reply->not_owned == 1U);
  // The state that an acknowledgement carries.
  BOOST_TEST(reply->state.open);
  BOOST_TEST(reply->state.free_slots == 2U);
}

// However many flows are lost, a member gets at most a datagram in 10 ms.
BOOST_AUTO_TEST_CASE(MembersGetAtMostOneQueryInTenMilliseconds) {
  LoneBalancer lone(30);
  for (std::uint16_t port = 1; port <= 400; ++port) {
    lone.LookUp(MakeFlow(port));
  }
  for (int i = 0; i < 60; ++i) {
    const auto queries = lone.Run(milliseconds(5));
    int answered = 0;
    for (const auto& [member, query] : queries) {
      // A third of the members does not answer.
      if (++answered % 3 != 0) {
        lone.Reply(member, query.number, query.flow_count);
      }
    }
  }
  BOOST_TEST(lone.sent_at().size() == 30U);
  for (const auto& [member, times] : lone.sent_at()) {
    for (std::size_t i = 1; i < times.size(); ++i) {
      BOOST_TEST((times[i] - times[i - 1] >= OwnerLookup::kBatchInterval));
    }
  }
  BOOST_TEST(lone.resets() == 0);
}

BOOST_AUTO_TEST_CASE(OwnerQueryRoundTrip) {
  OwnerQuery query;
  query.number = 1ULL << 40;
  query.config = 77;
  for (std::uint16_t i = 0; i < kMaxQueriedFlows; ++i) {
    auto flow = MakeFlow(i);
    flow.service.port = i % 3;
    query.Add({flow, 1000U + i, i % 2 == 0});
  }
  Bytes wire;
  AppendOwnerQuery(query, wire);
  BOOST_TEST((KindOf(wire) == FrameKind::kOwnerQuery));
  const auto read = DecodeOwnerQuery(wire);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->number == query.number);
  BOOST_TEST(read->config == 77U);
  BOOST_REQUIRE(read->flow_count == kMaxQueriedFlows);
  for (std::size_t i = 0; i < kMaxQueriedFlows; ++i) {
    BOOST_TEST((read->flows[i].flow == query.flows[i].flow));
    BOOST_TEST(read->flows[i].caller_ack == query.flows[i].caller_ack);
    BOOST_TEST(read->flows[i].routed == query.flows[i].routed);
  }
  for (std::size_t size = 0; size < wire.size(); ++size) {
    BOOST_TEST(!DecodeOwnerQuery(ByteView(wire).first(size)));
  }
}

BOOST_AUTO_TEST_CASE(LargestOwnerQueryIsNotFragmented) {
  OwnerQuery query;
  for (std::uint16_t i = 0; i < kMaxQueriedFlows; ++i) {
    auto flow = MakeFlow(i);
    flow.service.address += i;
    query.Add({flow, 0, true});
  }
  Bytes wire;
  AppendOwnerQuery(query, wire);
  constexpr std::size_t kMaxDatagram = 1472;  // 1,500 less UDP and IP headers.
  BOOST_TEST(wire.size() <= kMaxDatagram);
  BOOST_TEST(DecodeOwnerQuery(wire).has_value());
}

// A flow that is owned and not owned, or a count beyond the bits, has no
// meaning.
BOOST_AUTO_TEST_CASE(OwnerReplyRoundTrip) {
  OwnerReply reply;
  reply.number = 9;
  reply.flow_count = 3;
  reply.owned = 1;
  reply.not_owned = 4;
  reply.state.open = true;
  reply.state.config = 5;
  reply.state.expected_wait_us = 123;
  reply.state.free_slots = 2;
  Bytes wire;
  AppendOwnerReply(reply, wire);
  const auto read = DecodeOwnerReply(wire);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->number == 9U);
  BOOST_TEST(read->owned == 1U);
  BOOST_TEST(read->not_owned == 4U);
  BOOST_TEST(read->state.open);
  BOOST_TEST(read->state.config == 5U);
  BOOST_TEST(read->state.expected_wait_us == 123U);
  BOOST_TEST(read->state.free_slots == 2U);
  for (std::size_t size = 0; size < wire.size(); ++size) {
    BOOST_TEST(!DecodeOwnerReply(ByteView(wire).first(size)));
  }
  BOOST_TEST(!DecodeOwnerQuery(wire));
  BOOST_TEST(!DecodeAck(ByteView(wire).first(5)));
  reply.not_owned = 5;
  Bytes contradiction;
  AppendOwnerReply(reply, contradiction);
  BOOST_TEST(!DecodeOwnerReply(contradiction));
  reply.not_owned = 4;
  reply.flow_count = 65;
  Bytes too_many;
  AppendOwnerReply(reply, too_many);
  BOOST_TEST(!DecodeOwnerReply(too_many));
}

}  // namespace cowslip::segment::test
