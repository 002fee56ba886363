// Placement of connections in several data centres and on upstreams of unequal
// load, in virtual time, beside simpler policies that get the same load.
#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <numbers>

#include "segment/load_replay.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20261206;
constexpr double kMeanCost = 0.04;
constexpr Endpoint kAddress{0xC6120001, 443};
constexpr int kDataCenters = 3;
constexpr int kUpstreamsEach = 16;

class NullObserver final : public Observer {
  void OnDecision(const FlowDecision&) override {}
};

/// Three in a hundred requests cost seven times as much as the others.
std::chrono::duration<double> DrawHeavyTail(std::mt19937_64& random) {
  constexpr double kShare = 0.03;
  constexpr double kTimes = 7;
  constexpr double kUnit = kMeanCost / (1 - kShare + kShare * kTimes);
  std::bernoulli_distribution is_long(kShare);
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  return std::chrono::duration<double>(kUnit * spread(random) *
                                       (is_long(random) ? kTimes : 1));
}

std::chrono::duration<double> DrawEven(std::mt19937_64& random) {
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  return std::chrono::duration<double>(kMeanCost * spread(random));
}

LoadPlan MakePlan(int data_centers, int upstreams_each) {
  LoadPlan plan;
  plan.data_centers = data_centers;
  for (int i = 0; i < data_centers * upstreams_each; ++i) {
    plan.upstreams.push_back({.data_center = i % data_centers});
  }
  return plan;
}

/// @return requests per second that the upstreams of a plan can serve.
double CapacityOf(const LoadPlan& plan) {
  double capacity = 0;
  for (const auto& each : plan.upstreams) {
    capacity += each.slots / (kMeanCost * each.factor);
  }
  return capacity;
}

std::map<Policy, ReplayResult> ReplayAll(const LoadPlan& plan,
                                         const std::vector<Policy>& policies,
                                         const ReplayFaults& faults = {}) {
  std::map<Policy, ReplayResult> results;
  for (const auto policy : policies) {
    results[policy] = LoadReplay(plan, policy, faults).Run();
    BOOST_TEST_MESSAGE("  " << ToString(policy) << ": " << results[policy]);
  }
  return results;
}

const std::vector<Policy> kAllPolicies{
    Policy::kHashOnly,   Policy::kRoundRobin, Policy::kLeastReported,
    Policy::kPowerOfTwo, Policy::kOracle,     Policy::kAnyDataCenter,
    Policy::kPlacement};

/// Demand in each data centre swings by `swing` of the mean, a third of a
/// period apart.
LoadPlan MakeWaves(double of_capacity, double swing, seconds length) {
  constexpr double kPeriod = 10;
  auto plan = MakePlan(kDataCenters, kUpstreamsEach);
  const double mean = of_capacity * CapacityOf(plan) / kDataCenters;
  FlowGenerator(kSeed, DrawEven)
      .Add(plan, length, mean * (1 + swing), [&](int center, Duration at) {
        const double phase =
            std::chrono::duration<double>(at).count() / kPeriod +
            static_cast<double>(center) / kDataCenters;
        return mean * (1 + swing * std::sin(2 * std::numbers::pi * phase));
      });
  return plan;
}

/// Callers of no data centre are served worse; the margin is the noise of
/// single requests.
void CheckNotWorse(const ReplayResult& placed, const ReplayResult& before) {
  constexpr double kMargin = 0.002;
  for (std::size_t i = 0; i < placed.requests_of.size(); ++i) {
    const auto center = static_cast<int>(i);
    BOOST_TEST(placed.InTargetOf(center) >=
               before.InTargetOf(center) - kMargin);
  }
}

/// As many answers in time as the best of the simpler policies gives, and a p99
/// that is not higher.
void CheckBesideBaselines(const std::map<Policy, ReplayResult>& results) {
  const auto& placed = results.at(Policy::kPlacement);
  for (const auto policy : {Policy::kHashOnly, Policy::kRoundRobin,
                            Policy::kLeastReported, Policy::kPowerOfTwo}) {
    const auto& simple = results.at(policy);
    BOOST_TEST(placed.InTarget() >= simple.InTarget() - 0.001);
    BOOST_TEST(placed.P99() <= simple.P99() + 0.002);
  }
}

}  // namespace

// Guards against members of other data centres being preferred, and against
// local ones that are late being kept.
BOOST_AUTO_TEST_CASE(LocalMembersComeFirstWhileInTime) {
  Placement placement;
  using std::chrono::microseconds;
  placement.Offer({.sidecar = 1, .is_local = false, .wait = microseconds(10)});
  placement.Offer({.sidecar = 2, .is_local = true, .wait = milliseconds(90)});
  placement.Offer({.sidecar = 3, .is_local = true, .wait = milliseconds(40)});
  placement.Offer({.sidecar = 4, .is_local = true, .wait = milliseconds(151)});
  const auto order = placement.Order(milliseconds(300));
  BOOST_REQUIRE(order.size() == 4);
  BOOST_TEST(order[0].sidecar == 3);
  BOOST_TEST(order[1].sidecar == 2);
  BOOST_TEST(order[2].sidecar == 1);
  BOOST_TEST(order[3].sidecar == 4);
}

// Guards against several connections in a row to the member that reported the
// least wait, before its next report.
BOOST_AUTO_TEST_CASE(ReservationsCountUntilTheNextReport) {
  SidecarStateTable states;
  const TimePoint now{seconds(100)};
  Ack ack;
  ack.open = true;
  ack.expected_wait_us = 20'000;
  states.OnAck(1, ack, now);
  ack.expected_wait_us = 25'000;
  states.OnAck(2, ack, now);
  CandidateSelector selector(states, /*data_center=*/1);
  selector.ReplaceMembers(
      ServiceTag{7}, {{1, true, 1}, {2, true, 1}, {3, true, 2}}, false, now);
  const auto first_hop = [&] {
    SegmentFrame frame;
    frame.service = ServiceTag{7};
    selector.ListForNewFlow(5, milliseconds(300), now, frame);
    states.Reserve(frame.hops[0], now);
    return frame.hops[0];
  };
  BOOST_TEST(first_hop() == 1U);
  BOOST_TEST(first_hop() == 2U);
  BOOST_TEST(first_hop() == 1U);
  states.OnAck(1, ack, now);
  BOOST_TEST(states.Reservations(1, now) == 0U);
  // Without a report, reservations end with the lifetime of reports, so that a
  // member whose acknowledgements were lost is used again.
  BOOST_TEST(states.Reservations(2, now) == 1U);
  BOOST_TEST(states.Reservations(2, now + seconds(2)) == 0U);
}

// Guards against a faulty report ruling a member out for good, or attracting
// all connections.
BOOST_AUTO_TEST_CASE(ImplausibleReportsAreCapped) {
  SidecarStateTable states;
  const TimePoint now{seconds(100)};
  Ack ack;
  ack.open = true;
  ack.expected_wait_us = UINT32_MAX;
  ack.free_slots = UINT16_MAX;
  states.OnAck(1, ack, now);
  BOOST_TEST((*states.RecentWait(1, now) == seconds(60)));
  int claimed = 0;
  while (states.ClaimSlot(1, now)) ++claimed;
  BOOST_TEST(claimed == 64);
}

// Guards against a member without a recent report being tried before all
// others, or never.
BOOST_AUTO_TEST_CASE(MemberWithoutRecentReportCountsAsAverage) {
  Placement placement;
  placement.Offer({.sidecar = 1, .is_local = true, .wait = milliseconds(60)});
  placement.Offer({.sidecar = 2, .is_local = true, .wait = std::nullopt});
  placement.Offer({.sidecar = 3, .is_local = true, .wait = milliseconds(20)});
  const auto order = placement.Order(milliseconds(300));
  BOOST_TEST(order[0].sidecar == 3);
  BOOST_TEST(order[1].sidecar == 2);
  BOOST_TEST(order[2].sidecar == 1);
}

// Guards against a changed order where there is one data centre, or entries of
// the previous build do not name any.
BOOST_AUTO_TEST_CASE(OrderIsAsBeforeWithoutSeveralKnownDataCenters) {
  const TimePoint now{seconds(100)};
  const ServiceTag tag{7};
  SidecarStateTable states;
  for (InstanceAddress i = 1; i <= 20; ++i) {
    Ack ack;
    ack.open = true;
    ack.expected_wait_us = (i * 7919) % 1000;
    states.OnAck(i, ack, now);
    states.Reserve(i % 3 + 1, now);
  }
  const auto list = [&](std::uint64_t own, std::uint64_t (*center)(int)) {
    std::vector<Member> members;
    for (InstanceAddress i = 1; i <= 20; ++i) {
      members.push_back({i, true, center(static_cast<int>(i))});
    }
    CandidateSelector selector(states, own);
    selector.ReplaceMembers(tag, members, false, now);
    Route route;
    route.targets.push_back({tag, 1});
    std::vector<InstanceAddress> hops;
    for (std::uint64_t hash = 1; hash <= 50; ++hash) {
      for (const bool syn : {true, false}) {
        SegmentFrame frame;
        frame.service = tag;
        if (syn) {
          selector.ListForNewFlow(hash, milliseconds(300), now, frame);
        } else {
          selector.ListForExistingFlow(route, hash, 0, true, frame);
        }
        hops.insert(hops.end(), frame.hops.begin(),
                    frame.hops.begin() + frame.hop_count);
      }
    }
    return hops;
  };
  const auto one = [](int) { return std::uint64_t{1}; };
  const auto none = [](int) { return std::uint64_t{0}; };
  const auto two = [](int i) { return static_cast<std::uint64_t>(1 + i % 2); };
  const auto some = [](int i) { return static_cast<std::uint64_t>(i % 2); };
  const auto before = list(0, none);
  BOOST_TEST((list(1, none) == before));
  BOOST_TEST((list(1, one) == before));
  BOOST_TEST((list(1, some) == before));
  BOOST_TEST((list(0, two) == before));
  // A balancer of a data centre without members.
  BOOST_TEST((list(9, two) == before));
  BOOST_TEST((list(1, two) != before));
}

// Guards against members that no group of a lookup visits: the groups are built
// one after the other while the state of members changes.
BOOST_AUTO_TEST_CASE(LookupVisitsEachMemberOnce) {
  const TimePoint now{seconds(100)};
  const ServiceTag tag{7};
  SidecarStateTable states;
  CandidateSelector selector(states, /*data_center=*/1);
  std::vector<Member> members;
  for (InstanceAddress i = 1; i <= 40; ++i) {
    members.push_back({i, true, 1 + i % 3});
  }
  selector.ReplaceMembers(tag, members, false, now);
  Route route;
  route.targets.push_back({tag, 1});
  for (std::uint64_t hash = 1; hash <= 20; ++hash) {
    std::vector<InstanceAddress> visited;
    std::size_t skip = 0;
    while (true) {
      SegmentFrame frame;
      const auto covered =
          selector.ListForExistingFlow(route, hash, skip, true, frame);
      if (covered == 0) break;
      skip += covered;
      visited.insert(visited.end(), frame.hops.begin(),
                     frame.hops.begin() + frame.hop_count);
      Ack ack;
      ack.open = hash % 2 == 0;
      ack.expected_wait_us = static_cast<std::uint32_t>(skip * hash);
      for (const auto& member : members) states.OnAck(member.sidecar, ack, now);
    }
    BOOST_TEST(visited.size() == members.size());
    for (int i = 0; i < 4; ++i) BOOST_TEST(visited[i] % 3 == 0U);
    std::sort(visited.begin(), visited.end());
    BOOST_TEST((std::unique(visited.begin(), visited.end()) == visited.end()));
  }
}

// Guards against a lookup that ends as certain although a change of a member's
// data centre has moved the positions of others.
BOOST_AUTO_TEST_CASE(ChangedDataCenterCountsAsRemoval) {
  const TimePoint now{seconds(100)};
  const ServiceTag tag{7};
  SidecarStateTable states;
  CandidateSelector selector(states, /*data_center=*/1);
  std::vector<Member> members{{1, true, 1}, {2, true, 2}, {3, true, 2}};
  selector.ReplaceMembers(tag, members, false, now);
  const auto before = selector.removals();
  members.push_back({4, true, 1});
  selector.ReplaceMembers(tag, members, true, now);
  BOOST_TEST(selector.removals() == before);
  members[2].data_center = 1;
  selector.ReplaceMembers(tag, members, true, now);
  BOOST_TEST(selector.removals() == before + 1);
}

// Guards against a balancer that does not use its data centre, sends several
// connections in a row to one member, or counts placements wrongly.
BOOST_AUTO_TEST_CASE(BalancerPrefersItsDataCenter) {
  const TimePoint now{seconds(100)};
  NullObserver observer;
  Balancer balancer(1000, observer, now, DataCenterTag("lima"));
  auto routes = std::make_shared<RouteTable>();
  routes->version = 1;
  auto& route = routes->routes[kAddress];
  route.targets.push_back({TagOf("vault"), 1});
  route.latency_target = milliseconds(300);
  balancer.SetRoutes(routes, true, now);
  std::vector<Member> members;
  for (InstanceAddress i = 0; i < 12; ++i) {
    members.push_back(
        {2000 + i, true, DataCenterTag(i % 3 == 0 ? "lima" : "quito")});
  }
  balancer.SetMembers(TagOf("vault"), members, now);
  std::map<InstanceAddress, int> first_hops;
  for (std::uint16_t port = 1; port <= 40; ++port) {
    Outbox out;
    Segment syn;
    syn.flow = {{0x64400001, port}, kAddress};
    syn.syn = true;
    balancer.OnPacket(syn, Bytes(20), now, out);
    BOOST_REQUIRE(out.effects().size() == 1);
    const auto hop = out.effects()[0].instance;
    ++first_hops[hop];
    Ack ack;
    ack.verdict = AckStatus::kAccepted;
    ack.syn = true;
    ack.open = true;
    ack.flow = syn.flow;
    // Three quarters of the acknowledgements have not arrived yet.
    if (port % 4 == 0) balancer.OnAck(hop, ack, now, out);
  }
  // Each connection is offered to one of the four local members, evenly.
  BOOST_TEST(first_hops.size() == 4);
  for (const auto& [hop, count] : first_hops) {
    BOOST_TEST(hop % 3 == 2000 % 3);
    BOOST_TEST(count <= 14);
  }
  using enum Locality;
  BOOST_TEST(balancer.stats().placements.Of(kOwn) == 10U);
  BOOST_TEST(balancer.stats().placements.Of(kOther) == 0U);
  BOOST_TEST(balancer.stats().placements.Of(kUnknown) == 0U);
}

// Guards against a sidecar that takes each long-lived flow at its first free
// slot, and against other flows being passed on.
BOOST_AUTO_TEST_CASE(SidecarComparesLongLivedFlows) {
  TimePoint now{seconds(100)};
  NullObserver observer;
  constexpr InstanceAddress kSelf = 2000;
  Sidecar sidecar(kSelf, TagOf("vault"), observer, ProcessStart{now, {}});
  sidecar.OnReport({.id = "a", .sequence = 1, .slots = 2}, now);
  SegmentFrame frame;
  frame.service = TagOf("vault");
  frame.balancer = 1000;
  frame.time_left = milliseconds(300);
  frame.hop_count = 6;
  for (std::uint8_t i = 0; i < 6; ++i) frame.hops[i] = kSelf + i;
  const auto open = [&](std::uint16_t port) {
    Outbox out;
    Segment syn;
    syn.flow = {{0x64400001, port}, kAddress};
    syn.syn = true;
    sidecar.OnFrame(frame, syn, Bytes(20), now, out);
    return std::any_of(out.effects().begin(), out.effects().end(),
                       [](const auto& effect) {
                         return effect.kind == EffectKind::kSendToUpstream;
                       });
  };
  Segment answer;
  answer.flow = {{0x64400001, 1}, kAddress};
  answer.ack_flag = true;
  Segment request = answer;
  const auto exchange = [&](int requests) {
    for (int i = 0; i < requests; ++i) {
      Outbox out;
      request.length = 100;
      sidecar.OnFrame(frame, request, Bytes(120), now, out);
      request.seq += 100;
      now += milliseconds(20);
      answer.length = 600;
      sidecar.OnUpstreamPacket(answer, Bytes(620), now, out);
      answer.seq += 600;
    }
  };
  BOOST_REQUIRE(open(1));
  Segment syn_ack;
  syn_ack.flow = {{0x64400001, 1}, kAddress};
  syn_ack.syn = true;
  syn_ack.ack_flag = true;
  Outbox out;
  sidecar.OnUpstreamPacket(syn_ack, Bytes(20), now, out);
  exchange(6);
  BOOST_TEST(sidecar.stats().request_time.sum().count() == 120'000'000);
  BOOST_TEST(open(2));
  exchange(6);
  BOOST_TEST(!open(3));
  // The choice of the others is final.
  frame.forced = true;
  BOOST_TEST(open(4));
}

// Demand swings between the data centres by 0.6 of its mean, which exceeds the
// capacity of one of them at the peaks. Guards against oscillation between data
// centres, traffic that could have stayed local, and callers of any data centre
// that are served worse than without knowledge of data centres.
BOOST_AUTO_TEST_CASE(DemandWavesStayLocalAndSettle) {
  const auto plan = MakeWaves(0.7, 0.6, seconds(30));
  const auto results = ReplayAll(plan, kAllPolicies);
  const auto& placed = results.at(Policy::kPlacement);
  const auto& before = results.at(Policy::kAnyDataCenter);
  BOOST_TEST(placed.Local() >= 0.75);
  BOOST_TEST(placed.Local() >= 2 * before.Local());
  CheckNotWorse(placed, before);
  // The share that leaves a data centre follows its demand: it changes
  // direction about twice in each period of 20 windows, not from window to
  // window. A change counts if it is larger than the noise of a window of 280
  // requests.
  for (int center = 0; center < kDataCenters; ++center) {
    int turns = 0;
    double last_extreme = 0;
    int direction = 0;
    const auto& local = placed.local_by_window[center];
    const auto& other = placed.other_by_window[center];
    for (std::size_t i = 6; i + 1 < local.size(); ++i) {
      const double share = ReplayResult::Share(other[i], local[i] + other[i]);
      constexpr double kNoise = 0.12;
      if (direction >= 0 && share < last_extreme - kNoise) {
        ++turns;
        direction = -1;
        last_extreme = share;
      } else if (direction <= 0 && share > last_extreme + kNoise) {
        ++turns;
        direction = 1;
        last_extreme = share;
      } else if ((direction >= 0 && share > last_extreme) ||
                 (direction < 0 && share < last_extreme)) {
        last_extreme = share;
      }
    }
    BOOST_TEST_MESSAGE("  data centre " << center << ": " << turns
                                        << " turns of the share that leaves");
    BOOST_TEST(turns <= 8);
  }
}

// Three requests in a hundred cost seven times as much as the others, and look
// the same. Guards against requests that wait behind them while other upstreams
// are free.
BOOST_AUTO_TEST_CASE(HeavyTail) {
  for (const double load : {0.7, 0.9}) {
    BOOST_TEST_MESSAGE("  load " << load);
    auto plan = MakePlan(1, 48);
    plan.target = milliseconds(280);
    const double rate = load * CapacityOf(plan);
    FlowGenerator(kSeed, DrawHeavyTail)
        .Add(plan, seconds(20), rate, [&](int, Duration) { return rate; });
    CheckBesideBaselines(ReplayAll(plan, kAllPolicies));
  }
}

// Upstreams of two speeds: 0.7, 0.7 and 1.7 times the mean service time.
BOOST_AUTO_TEST_CASE(TwoSpeeds) {
  auto plan = MakePlan(1, 48);
  plan.target = milliseconds(200);
  for (std::size_t i = 0; i < plan.upstreams.size(); ++i) {
    plan.upstreams[i].factor = i % 3 == 2 ? 1.7 : 0.7;
  }
  const double rate = 0.85 * CapacityOf(plan);
  FlowGenerator(kSeed, DrawHeavyTail)
      .Add(plan, seconds(20), rate, [&](int, Duration) { return rate; });
  CheckBesideBaselines(ReplayAll(plan, kAllPolicies));
}

// Four of 48 upstreams become six times slower.
BOOST_AUTO_TEST_CASE(UpstreamsSlowToASixth) {
  auto plan = MakePlan(1, 48);
  for (int i = 0; i < 4; ++i) {
    plan.upstreams[i].later_change = 6;
    plan.upstreams[i].changes_at = seconds(6);
  }
  const double rate = 0.75 * CapacityOf(plan);
  FlowGenerator(kSeed, DrawEven)
      .Add(plan, seconds(15), rate, [&](int, Duration) { return rate; });
  CheckBesideBaselines(ReplayAll(plan, kAllPolicies));
}

// All sidecar processes are replaced while their upstreams are busy, so that
// the models are empty.
BOOST_AUTO_TEST_CASE(ModelsLostWithTheirProcesses) {
  auto plan = MakePlan(1, 48);
  const double rate = 0.75 * CapacityOf(plan);
  FlowGenerator(kSeed, DrawHeavyTail)
      .Add(plan, seconds(12), rate, [&](int, Duration) { return rate; });
  const auto kept = LoadReplay(plan, Policy::kPlacement).Run();
  ReplayFaults faults;
  faults.models_lost_at = seconds(6);
  const auto lost = ReplayAll(plan, kAllPolicies, faults);
  BOOST_TEST(lost.at(Policy::kPlacement).InTarget() >= kept.InTarget() - 0.005);
}

// Long-lived flows that send 40 requests each beside flows of one request, at
// upstreams of two speeds.
BOOST_AUTO_TEST_CASE(LongAndShortFlows) {
  auto plan = MakePlan(1, 48);
  for (std::size_t i = 0; i < plan.upstreams.size(); ++i) {
    plan.upstreams[i].factor = i % 3 == 2 ? 1.7 : 0.7;
  }
  const double rate = 0.8 * CapacityOf(plan);
  constexpr int kRequests = 40;
  FlowGenerator generator(kSeed, DrawEven);
  generator.Add(plan, seconds(20), rate / 2,
                [&](int, Duration) { return rate / 2; });
  generator.AddLong(plan, seconds(20), rate / 2 / kRequests, kRequests,
                    milliseconds(150));
  CheckBesideBaselines(ReplayAll(plan, kAllPolicies));
}

// Long-lived flows that are opened within two seconds, as after a loss of
// balancers, and bring four fifths of the load from then on. Guards against
// upstreams that get more of them than they can serve.
BOOST_AUTO_TEST_CASE(LongFlowsOpenedAtTheSameTime) {
  auto plan = MakePlan(1, 48);
  plan.measured_from = seconds(9);
  const double rate = 0.7 * CapacityOf(plan);
  constexpr int kRequests = 30;
  constexpr double kShareOfLong = 0.8;
  constexpr milliseconds kDistance{500};
  FlowGenerator generator(kSeed, DrawEven);
  generator.Add(plan, seconds(20), rate, [&](int, Duration at) {
    return at < seconds(6) ? rate / 2 : rate * (1 - kShareOfLong);
  });
  // Flows before, from which each upstream learns the load of a flow.
  generator.AddLong(plan, seconds(4), 80, kRequests / 3, kDistance);
  const double flows =
      rate * kShareOfLong * std::chrono::duration<double>(kDistance).count();
  LoadPlan burst;
  generator.AddLong(burst, seconds(2), flows / 2, kRequests, kDistance);
  for (auto& flow : burst.flows) {
    flow.opens_at += seconds(6);
    plan.flows.push_back(flow);
  }
  std::stable_sort(
      plan.flows.begin(), plan.flows.end(),
      [](const auto& a, const auto& b) { return a.opens_at < b.opens_at; });
  CheckBesideBaselines(ReplayAll(plan, kAllPolicies));
}

// Two routes to the same upstreams, one of which costs eight times as much.
// Guards against an order of upstreams by the route that they served last.
BOOST_AUTO_TEST_CASE(TwoRoutesOfUnequalCost) {
  auto plan = MakePlan(1, 48);
  const double rate = 0.85 * CapacityOf(plan);
  static constexpr double kLong = 0.16;
  static constexpr double kShort = 0.02;
  FlowGenerator(kSeed, [](auto&) {
    return std::chrono::duration<double>(kShort);
  }).Add(plan, seconds(20), rate, [&](int, Duration) {
    return rate / 2 * kMeanCost / kShort;
  });
  FlowGenerator(kSeed + 1, [](auto&) {
    return std::chrono::duration<double>(kLong);
  }).AddLong(plan, seconds(20), rate / 2 * kMeanCost / kLong, 1, Duration{});
  CheckBesideBaselines(ReplayAll(plan, kAllPolicies));
}

// A whole data centre is evacuated and taken back. Guards against callers of
// any data centre being served worse than without knowledge of data centres,
// and against work that doesn't come back.
BOOST_AUTO_TEST_CASE(EvacuatedDataCenterIsReplacedAndComesBack) {
  auto plan = MakeWaves(0.5, 0, seconds(20));
  for (auto& upstream : plan.upstreams) {
    if (upstream.data_center != 0) continue;
    upstream.closed_from = seconds(6);
    upstream.closed_until = seconds(12);
  }
  const auto results = ReplayAll(plan, kAllPolicies);
  const auto& placed = results.at(Policy::kPlacement);
  CheckNotWorse(placed, results.at(Policy::kAnyDataCenter));
  const auto local_share = [&](int center, int from, int to) {
    int local = 0;
    int other = 0;
    for (int i = 2 * from; i < 2 * to; ++i) {
      local += placed.local_by_window[center][i];
      other += placed.other_by_window[center][i];
    }
    return ReplayResult::Share(local, local + other);
  };
  BOOST_TEST(local_share(0, 7, 11) == 0);
  BOOST_TEST(local_share(0, 14, 19) >= 0.9 * local_share(0, 3, 6));
}

// The upstreams of one data centre are cold and slower at first.
BOOST_AUTO_TEST_CASE(ColdDataCenterIsRelieved) {
  auto plan = MakeWaves(0.6, 0, seconds(12));
  plan.measured_from = Duration{};
  for (auto& upstream : plan.upstreams) {
    if (upstream.data_center != 0) continue;
    upstream.factor = 1.6;
    upstream.later_change = 1 / 1.6;
    upstream.changes_at = seconds(5);
  }
  const auto results = ReplayAll(plan, kAllPolicies);
  CheckNotWorse(results.at(Policy::kPlacement),
                results.at(Policy::kAnyDataCenter));
}

// Acknowledgements are late by 400 ms and a third of them is lost.
BOOST_AUTO_TEST_CASE(StaleReports) {
  const auto plan = MakeWaves(0.6, 0.4, seconds(15));
  ReplayFaults faults;
  faults.lost_acks = 0.33;
  faults.ack_delay = milliseconds(400);
  const auto results = ReplayAll(plan, kAllPolicies, faults);
  const auto& placed = results.at(Policy::kPlacement);
  CheckNotWorse(placed, results.at(Policy::kAnyDataCenter));
  BOOST_TEST(placed.InTarget() >= results.at(Policy::kHashOnly).InTarget());
}

// One sidecar always reports no wait and 65,535 free slots. Guards against all
// connections going there.
BOOST_AUTO_TEST_CASE(ImplausibleReportsDoNotAttractTheLoad) {
  const auto plan = MakeWaves(0.6, 0, seconds(10));
  ReplayFaults faults;
  faults.implausible = 0;
  const auto results = ReplayAll(plan, kAllPolicies, faults);
  const auto& placed = results.at(Policy::kPlacement);
  CheckNotWorse(placed, results.at(Policy::kAnyDataCenter));
  BOOST_TEST(placed.BusiestOverMean() <= 2);
}

// Half of the members are of the previous build, whose entries name no data
// centre.
BOOST_AUTO_TEST_CASE(EntriesOfThePreviousBuild) {
  const auto plan = MakeWaves(0.6, 0.4, seconds(15));
  ReplayFaults faults;
  faults.first_without_data_center = kDataCenters * kUpstreamsEach / 2;
  const auto results = ReplayAll(plan, kAllPolicies, faults);
  const auto& placed = results.at(Policy::kPlacement);
  CheckNotWorse(placed, results.at(Policy::kAnyDataCenter));
  BOOST_TEST(placed.Local() >= results.at(Policy::kAnyDataCenter).Local());
}

}  // namespace cowslip::segment::test
