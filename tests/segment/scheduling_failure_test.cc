// What failures and changes do to the requests that a sidecar holds, in virtual
// time.
#define BOOST_TEST_MODULE scheduling_failure
#include <boost/test/unit_test.hpp>

#include "segment/scheduled_site.h"

namespace cowslip::segment::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
constexpr InstanceAddress kSidecar = 2000;
constexpr InstanceAddress kBalancer = 1000;
constexpr std::uint32_t kUpstreamSeq = 7000;

const RequestClass kUrgent{1, milliseconds(2000)};
const RequestClass kOther{2, milliseconds(4000)};

/// Keeps the decisions of a sidecar.
class RecordingObserver final : public Observer {
 public:
  void OnDecision(const FlowDecision& decision) override {
    if (decision.action != "drop_request") return;
    ++drops;
    reason = decision.reason;
    priority = decision.priority.value_or(0);
    waited = decision.waited;
  }
  int drops = 0;
  std::string_view reason;
  int priority = 0;
  milliseconds waited{};
};

/// A sidecar whose upstream has one slot, with packets made by hand. A packet
/// is its sequence number in one byte.
class SidecarHost {
 public:
  SidecarHost() : SidecarHost(milliseconds(1000001), 1, milliseconds(0)) {}
  SidecarHost(milliseconds started_at, std::uint32_t upstream_slots,
              milliseconds left)
      : sidecar(kSidecar, TagOf("vault"), observer, {kStart, seconds(1000)}),
        slots(upstream_slots),
        warmup_left(left) {
    Report("first", started_at);
  }
  /// An upstream with 10 slots that is cold for 2 s, with a limit of two
  /// requests per second, and routes without a class.
  static std::unique_ptr<SidecarHost> MakeCold(
      milliseconds started_at = milliseconds(1000001)) {
    auto host = std::make_unique<SidecarHost>(started_at, 10, seconds(2));
    host->warm_up_limit = scheduling::RequestRate::FromPerSecond(2);
    return host;
  }

  void Report(const char* id, milliseconds started_at) {
    UpstreamReport report;
    report.id = id;
    report.started_at = started_at;
    report.sequence = ++sequence;
    report.slots = slots;
    report.warmup_left = warmup_left;
    sidecar.OnReport(report, now);
  }

  Segment Make(std::uint16_t port) const {
    Segment segment;
    segment.flow = {{0x64400001, port}, {0xC6120001, 443}};
    return segment;
  }

  /// Hands a caller's packet to the sidecar.
  /// @return the packets that the upstream gets.
  std::vector<Bytes> FromCaller(const Segment& segment, std::uint8_t number,
                                std::optional<RequestClass> request) {
    SegmentFrame frame;
    frame.service = TagOf("vault");
    frame.balancer = kBalancer;
    frame.hop_count = 1;
    frame.hops[0] = kSidecar;
    frame.searched = true;
    frame.forced = true;
    frame.request = request;
    frame.warm_up_limit = warm_up_limit;
    if (request) frame.time_left = milliseconds(500);
    Outbox out;
    sidecar.OnFrame(frame, segment, Bytes{number}, now, out);
    return Collect(out);
  }

  void Open(std::uint16_t port, std::optional<RequestClass> request) {
    auto syn = Make(port);
    syn.syn = true;
    FromCaller(syn, 0, request);
    auto syn_ack = Make(port);
    syn_ack.syn = true;
    syn_ack.ack_flag = true;
    syn_ack.seq = kUpstreamSeq;
    FromUpstream(syn_ack);
  }
  /// A request of 100 bytes.
  std::vector<Bytes> Ask(std::uint16_t port, std::uint8_t number = 0) {
    auto request = Make(port);
    request.ack_flag = true;
    request.ack = kUpstreamSeq;
    request.seq = number * 100U;
    request.length = 100;
    return FromCaller(request, number, std::nullopt);
  }
  std::vector<Bytes> Answer(std::uint16_t port) {
    auto response = Make(port);
    response.ack_flag = true;
    response.seq = kUpstreamSeq;
    response.length = 10;
    return FromUpstream(response);
  }
  std::vector<Bytes> FromUpstream(const Segment& segment) {
    Outbox out;
    sidecar.OnUpstreamPacket(segment, Bytes{1}, now, out);
    return Collect(out);
  }
  std::vector<Bytes> Tick() {
    Outbox out;
    sidecar.OnTick(now, out);
    return Collect(out);
  }
  /// Opens flows 1 to 3, of which the third waits.
  void HoldThird(const RequestClass& request) {
    for (std::uint16_t port = 1; port <= 3; ++port) {
      Open(port, request);
      const auto sent = Ask(port);
      BOOST_REQUIRE(sent.size() == (port < 3 ? 1U : 0U));
    }
    BOOST_REQUIRE(sidecar.requests_waiting() == 1U);
  }

  RecordingObserver observer;
  TimePoint now = kStart;
  Sidecar sidecar;
  Ack last_ack;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 1;
  milliseconds warmup_left{0};
  std::optional<scheduling::RequestRate> warm_up_limit;

 private:
  std::vector<Bytes> Collect(const Outbox& out) {
    std::vector<Bytes> packets;
    for (const auto& effect : out.effects()) {
      const auto datagram = out.Datagram(effect);
      if (effect.kind == EffectKind::kSendToUpstream) {
        packets.emplace_back(datagram.begin(), datagram.end());
      } else if (const auto ack = DecodeAck(datagram)) {
        last_ack = *ack;
      }
    }
    return packets;
  }
};

Outcome Sum(const ScheduledSite& site) {
  Outcome sum = site.outcome(0);
  sum.requests += site.outcome(1).requests;
  sum.in_time += site.outcome(1).in_time;
  sum.late += site.outcome(1).late;
  return sum;
}

const RequestKind kUrgentKind{.priority = 1,
                              .target = milliseconds(300),
                              .limit = milliseconds(2000),
                              .on_open_flows = false,
                              .value = 2};
const RequestKind kOtherKind{.priority = 2,
                             .target = milliseconds(500),
                             .limit = milliseconds(3000),
                             .on_open_flows = true,
                             .value = 1};

}  // namespace

// Guards against a change of behaviour where the configuration has neither
// priorities nor time limits.
BOOST_AUTO_TEST_CASE(PacketsWithoutAClassPassAtOnce) {
  SidecarHost host;
  for (std::uint16_t port = 1; port <= 20; ++port) {
    host.Open(port, RequestClass{});
    BOOST_TEST(host.Ask(port).size() == 1U);
  }
  BOOST_TEST(host.sidecar.requests_waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestWaitsForAResponse) {
  SidecarHost host;
  host.HoldThird(kUrgent);
  BOOST_TEST((host.last_ack.verdict == AckStatus::kAccepted));
  host.now += milliseconds(30);
  BOOST_TEST(host.Answer(1).size() == 1U);
  BOOST_TEST(host.sidecar.requests_waiting() == 0U);
  BOOST_TEST(host.sidecar.stats().idle_slots_while_waiting == 0U);
}

// Guards against a lookup that counts a flow as lost because the packet that
// opens it at the upstream is held.
BOOST_AUTO_TEST_CASE(HeldFlowCountsAsOwned) {
  SidecarHost host;
  host.HoldThird(kUrgent);
  BOOST_TEST(host.Ask(3).empty());
  BOOST_TEST((host.last_ack.verdict == AckStatus::kAccepted));
  BOOST_TEST(host.sidecar.requests_waiting() == 1U);
  // The upstream has repeated its SYN-ACK, which the caller acknowledges.
  auto ack = host.Make(3);
  ack.ack_flag = true;
  ack.ack = kUpstreamSeq;
  BOOST_TEST(host.FromCaller(ack, 5, std::nullopt).size() == 1U);
  BOOST_TEST(host.sidecar.requests_waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(EndOfTheCallerRemovesWhatIsHeld) {
  for (const bool reset : {false, true}) {
    SidecarHost host;
    host.HoldThird(kUrgent);
    auto end = host.Make(3);
    (reset ? end.rst : end.fin) = true;
    end.ack_flag = true;
    end.seq = 100;
    BOOST_TEST(host.FromCaller(end, 5, std::nullopt).size() == 1U);
    BOOST_TEST(host.sidecar.requests_waiting() == 0U);
    BOOST_TEST(host.observer.drops == 1);
    BOOST_TEST(host.Answer(1).empty());
    BOOST_TEST(host.sidecar.stats().idle_slots_while_waiting == 0U);
  }
}

// Guards against a request that comes back, with a new time limit, when its
// caller repeats it.
BOOST_AUTO_TEST_CASE(DroppedRequestStaysDropped) {
  SidecarHost host;
  host.Open(1, kOther);
  host.Open(2, kOther);
  host.Open(3, kUrgent);
  host.Ask(1);
  host.Ask(2);
  BOOST_TEST(host.Ask(3).empty());
  host.now += milliseconds(1990);
  BOOST_TEST(host.Tick().empty());
  BOOST_TEST(host.observer.drops == 1);
  BOOST_TEST(host.observer.reason == "past_time_limit");
  BOOST_TEST(host.observer.priority == 1);
  BOOST_TEST((host.observer.waited == milliseconds(1990)));
  BOOST_TEST(host.Ask(3).empty());
  BOOST_TEST(host.sidecar.requests_waiting() == 0U);
  BOOST_TEST((host.last_ack.verdict == AckStatus::kAccepted));
  // A new request of the flow is a request like any other.
  host.Ask(3, 1);
  BOOST_TEST(host.sidecar.requests_waiting() == 1U);
}

// Guards against packets of lost flows that reach the next process of the
// upstream late, after it has served others, or never.
BOOST_AUTO_TEST_CASE(RestartOfTheUpstreamDropsWhatIsHeld) {
  SidecarHost host;
  host.HoldThird(kUrgent);
  host.now += milliseconds(100);
  host.Report("second", milliseconds(1000101));
  BOOST_TEST(host.sidecar.requests_waiting() == 0U);
  BOOST_TEST(host.observer.reason == "upstream_restarted");
  BOOST_TEST(host.sidecar.load().in_progress() == 0U);
  // Fill the slots of the new process: the lost flow doesn't wait for them.
  for (std::uint16_t port = 11; port <= 13; ++port) {
    host.Open(port, kUrgent);
    host.Ask(port);
  }
  BOOST_TEST(host.sidecar.requests_waiting() == 1U);
  BOOST_TEST(host.Ask(3).size() == 1U);
  BOOST_TEST(host.Ask(3, 1).size() == 1U);
}

// A suspended process: what can't be answered any more is dropped, duplicates
// of the backlog too, the rest continues.
BOOST_AUTO_TEST_CASE(SuspensionDropsOnlyWhatIsTooLate) {
  SidecarHost host;
  host.HoldThird(kUrgent);
  host.Open(4, kOther);
  BOOST_TEST(host.Ask(4).empty());
  host.now += seconds(3);
  host.sidecar.OnResume(host.now);
  BOOST_TEST(host.observer.drops == 1);
  BOOST_TEST(host.sidecar.requests_waiting() == 1U);
  BOOST_TEST(host.Ask(4).empty());
  BOOST_TEST(host.sidecar.requests_waiting() == 1U);
  BOOST_TEST(host.Answer(1).size() == 1U);
}

// Guards against flows whose urgency changes while they are open.
BOOST_AUTO_TEST_CASE(ChangedPriorityAppliesToLaterSyns) {
  SidecarHost host;
  host.HoldThird(kOther);
  // The priorities are swapped: this flow was opened as the other kind.
  host.Open(4, kUrgent);
  BOOST_TEST(host.Ask(4).empty());
  const auto first = host.Answer(1);
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST(host.sidecar.requests_waiting() == 1U);
  // Flow 4 was served first: its answer frees a slot, that of flow 3 would not.
  BOOST_TEST(host.Answer(4).size() == 1U);
}

// Acknowledgements tell balancers for how many callers a reset of a lost flow
// is of use.
BOOST_AUTO_TEST_CASE(CapacityIsReported) {
  SidecarHost host;
  host.Open(1, kUrgent);
  host.Ask(1);
  // 20 ms each, as assumed before the first response, and a limit of 2 s.
  BOOST_TEST(host.last_ack.free_slots == RequestDispatcher::kMaxCapacity);
  host.HoldThird(kUrgent);
}

// Guards against requests on open flows, or of routes without a class, that
// reach a cold upstream beside its limit.
BOOST_AUTO_TEST_CASE(WarmUpLimitCountsRequestsOfAllFlows) {
  const auto host = SidecarHost::MakeCold();
  for (std::uint16_t port = 1; port <= 5; ++port) {
    host->Open(port, std::nullopt);
    BOOST_TEST(host->Ask(port).size() == (port <= 2 ? 1U : 0U));
  }
  BOOST_TEST(host->last_ack.free_slots == 0U);
  BOOST_TEST(host->last_ack.expected_wait_us > 1'000'000U);
  // A repeated packet passes and is not counted again.
  BOOST_TEST(host->Ask(1).size() == 1U);
  host->Answer(1);
  BOOST_TEST(host->Ask(1, 1).empty());
  BOOST_TEST((host->sidecar.NextDispatch(host->now) ==
              kStart + seconds(1) + std::chrono::nanoseconds(1)));
  host->now += seconds(1);
  BOOST_TEST(host->Tick().empty());
  // Without a class, the target is 1 s: late requests are spread.
  host->now += milliseconds(1);
  BOOST_TEST(host->Tick().size() == 1U);
  BOOST_TEST(host->Tick().empty());
  host->now += milliseconds(500);
  BOOST_TEST(host->Tick().size() == 1U);
  BOOST_TEST(host->sidecar.stats().warm_up_limited == 2U);
  BOOST_TEST(host->sidecar.stats().idle_slots_while_waiting == 0U);
}

// Guards against SYNs that wait for a cold upstream while others are free.
BOOST_AUTO_TEST_CASE(WarmUpLimitMakesACandidate) {
  const auto host = SidecarHost::MakeCold();
  host->Open(1, kUrgent);
  host->Open(2, kUrgent);
  auto syn = host->Make(3);
  syn.syn = true;
  SegmentFrame frame;
  frame.service = TagOf("vault");
  frame.hop_count = 2;
  frame.hops = {kSidecar, kSidecar + 1};
  frame.request = kOther;
  Outbox out;
  host->sidecar.OnFrame(frame, syn, Bytes{1}, host->now, out);
  ByteView packet;
  std::optional<SegmentFrame> next;
  for (const auto& effect : out.effects()) {
    if (effect.instance != kSidecar + 1) continue;
    next = DecodeSegmentFrame(out.Datagram(effect), packet);
  }
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->best_wait_us > 1'000'000U);
  BOOST_TEST(next->best_wait_us < 1'100'000U);
}

// Guards against a step in the queue of an upstream whose warm-up ends, and
// against requests that overtake those that waited.
BOOST_AUTO_TEST_CASE(EndOfTheWarmUpKeepsThePaceOfTheSlots) {
  const auto host = SidecarHost::MakeCold();
  for (std::uint16_t port = 1; port <= 20; ++port) {
    host->Open(port, std::nullopt);
    host->Ask(port);
  }
  BOOST_TEST(host->sidecar.requests_waiting() == 18U);
  host->now += milliseconds(900);
  host->warmup_left = milliseconds(0);
  host->Report("first", milliseconds(1000001));
  BOOST_TEST(host->Tick().size() == 9U);
  host->Open(21, std::nullopt);
  BOOST_TEST(host->Ask(21).empty());
  BOOST_TEST(host->Answer(1).size() == 1U);
}

// Guards against a restarted sidecar that asks a cold upstream for the owner of
// flows with their requests.
BOOST_AUTO_TEST_CASE(WarmUpLimitCountsPacketsOfUnseenFlows) {
  const auto host = SidecarHost::MakeCold(milliseconds(999000));
  for (std::uint16_t port = 1; port <= 3; ++port) {
    BOOST_TEST(host->Ask(port).empty());
  }
  // Without data it is no request.
  auto ack = host->Make(4);
  ack.ack_flag = true;
  BOOST_TEST(host->FromCaller(ack, 0, std::nullopt).size() == 1U);
  host->now += milliseconds(1001);
  for (std::uint16_t port = 1; port <= 3; ++port) {
    BOOST_TEST(host->Ask(port).size() == (port <= 2 ? 1U : 0U));
  }
}

// Guards against uploads that exceed the memory for held packets and so the
// limit, and against data that the upstream gets with a hole.
BOOST_AUTO_TEST_CASE(WarmUpLimitHoldsMoreThanTheMemory) {
  const auto host = SidecarHost::MakeCold();
  for (std::uint16_t port = 1; port <= 3; ++port) {
    host->Open(port, std::nullopt);
    host->Ask(port);
  }
  std::size_t packets = 1;
  for (std::uint8_t number = 1; number < 255; ++number, ++packets) {
    auto segment = host->Make(3);
    segment.ack_flag = true;
    segment.seq = number * 100U;
    segment.length = 100;
    // The memory counts the packet as it is, of one byte, and what it takes.
    BOOST_REQUIRE(host->FromCaller(segment, number, std::nullopt).empty());
  }
  const auto large = scheduling::RequestScheduler::kMaxFlowBytes;
  auto last = host->Make(3);
  last.ack_flag = true;
  last.seq = 255 * 100U;
  last.length = 100;
  SegmentFrame frame;
  frame.service = TagOf("vault");
  frame.hop_count = 1;
  Outbox out;
  host->sidecar.OnFrame(frame, last, Bytes(large), host->now, out);
  for (const auto& effect : out.effects()) {
    BOOST_TEST((effect.kind != EffectKind::kSendToUpstream));
  }
  host->now += milliseconds(1001);
  BOOST_TEST(host->Tick().size() == packets);
  // The caller repeats the dropped packet.
  BOOST_TEST(host->FromCaller(last, 9, std::nullopt).size() == 1U);
}

// Guards against a new process of the upstream that is given requests of flows
// that were opened before its first report without counting them.
BOOST_AUTO_TEST_CASE(WarmUpLimitCountsFlowsOpenedBeforeTheReport) {
  const auto host = SidecarHost::MakeCold();
  host->now += milliseconds(500);
  for (std::uint16_t port = 1; port <= 4; ++port) {
    host->Open(port, std::nullopt);
  }
  // Held, and repeated after the report.
  for (std::uint16_t port = 5; port <= 6; ++port) {
    host->Open(port, std::nullopt);
    host->Ask(port);
  }
  host->Open(7, std::nullopt);
  BOOST_TEST(host->Ask(7).empty());
  host->Report("restarted", milliseconds(1000499));
  BOOST_TEST(host->Ask(7).empty());
  for (std::uint16_t port = 1; port <= 4; ++port) {
    BOOST_TEST(host->Ask(port).empty());
  }
  BOOST_TEST(host->observer.drops == 0);
  host->now += milliseconds(1001);
  BOOST_TEST(host->Tick().size() == 1U);
}

// Guards against a limit that stays after it was removed, that reaches members
// of earlier builds, or that a route without a limit gets.
BOOST_AUTO_TEST_CASE(WarmUpLimitComesWithTheFrames) {
  for (const std::uint8_t version : {0, 1, 2}) {
    Simulation sim;
    sim.AddBalancer(0);
    sim.SetFrameVersion(0, version);
    sim.AddSidecar(0, "vault", {});
    const auto limit = scheduling::RequestRate::FromPerSecond(2.5);
    auto routes = Simulation::MakeRoutes(1, "vault");
    routes->warm_up_limits[TagOf("vault")] = limit;
    sim.SetRoutesOf(0, routes);
    sim.UpdateAllMembers();
    sim.Report(0);
    auto& caller = sim.AddCaller();
    caller.Open();
    sim.Run(seconds(1));
    BOOST_TEST((caller.state() == CallState::kAnswered));
    const bool reads = version >= kWarmUpLimitVersion;
    BOOST_TEST((sim.sidecar(0).warm_up().limit() ==
                (reads ? limit : scheduling::RequestRate())));
    // A restarted sidecar learns it from an open flow.
    sim.RestartSidecar(0);
    sim.Report(0);
    caller.Ask();
    sim.Run(seconds(1));
    BOOST_TEST(sim.sidecar(0).warm_up().limit().is_limit() == reads);
    sim.SetRoutesOf(0, Simulation::MakeRoutes(2, "vault"));
    sim.AddCaller().Open();
    sim.Run(seconds(1));
    BOOST_TEST(!sim.sidecar(0).warm_up().limit().is_limit());
  }
}

// An upstream loses the responses of some requests: their slots come back.
BOOST_AUTO_TEST_CASE(SlotsOfUnansweredRequestsComeBack) {
  Simulation sim;
  sim.AddBalancer(0);
  sim.SetFrameVersion(0, kFrameVersion);
  sim.AddSidecar(0, "vault", {.slots = 2, .unanswered_every = 5});
  const auto routes = Simulation::MakeRoutes(1, "vault");
  auto& route = routes->routes[Simulation::ServiceAddress()];
  route.priority = 1;
  route.latency_target = milliseconds(300);
  route.time_limit = milliseconds(1500);
  sim.SetRoutesOf(0, routes);
  sim.UpdateAllMembers();
  sim.Report(0);
  for (int i = 0; i < 200; ++i) {
    sim.AddCaller().Open();
    sim.Run(milliseconds(100));
  }
  sim.Run(seconds(2));
  BOOST_TEST(sim.sidecar(0).load().in_progress() == 0U);
  BOOST_TEST(sim.sidecar(0).requests_waiting() == 0U);
  int answered = 0;
  for (const auto& caller : sim.callers()) {
    answered += caller->state() == CallState::kAnswered;
  }
  // 160 have a response; half as many could not be served while each lost
  // response kept a slot for 1.5 s.
  BOOST_TEST(answered >= 130);
}

// A sidecar process is killed with a full queue and starts again: callers send
// the lost packets again, and nothing waits for ever.
BOOST_AUTO_TEST_CASE(KilledSidecarWithFullQueue) {
  ScheduledSite site({.upstreams = 4}, {kUrgentKind, kOtherKind});
  const double capacity = site.Capacity();
  const std::vector<double> full{0.5 * capacity, 1.0 * capacity};
  site.Run(seconds(3), full);
  auto& sim = site.sim();
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(sim.sidecar(i).requests_waiting() > 0U);
    sim.Isolate(Simulation::SidecarAddress(i));
  }
  site.Run(milliseconds(600), full);
  for (int i = 0; i < 2; ++i) {
    sim.RestartSidecar(i);
    sim.Heal(Simulation::SidecarAddress(i));
    sim.Report(i);
  }
  const std::vector<double> light{0.2 * capacity, 0.2 * capacity};
  site.Run(seconds(4), light);
  site.StartMeasurement();
  site.Run(seconds(2), light);
  site.Finish(light);
  BOOST_TEST(site.outcome(0).served() >= 0.98);
  BOOST_TEST(site.outcome(1).served() >= 0.98);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// A sidecar process is suspended with a full queue: the requests that are too
// late take no slot afterwards.
BOOST_AUTO_TEST_CASE(FrozenSidecarWithFullQueue) {
  ScheduledSite site({.upstreams = 4}, {kUrgentKind, kOtherKind});
  const double capacity = site.Capacity();
  const std::vector<double> full{0.5 * capacity, 1.0 * capacity};
  site.Run(seconds(3), full);
  auto& sim = site.sim();
  const auto dropped = sim.sidecar(0).stats().requests_dropped;
  BOOST_TEST(sim.sidecar(0).requests_waiting() > 0U);
  sim.SuspendSidecar(0);
  site.Run(milliseconds(3500), full);
  sim.ResumeSidecar(0);
  BOOST_TEST(sim.sidecar(0).stats().requests_dropped > dropped);
  const std::vector<double> light{0.2 * capacity, 0.2 * capacity};
  site.Run(seconds(4), light);
  site.StartMeasurement();
  site.Run(seconds(2), light);
  site.Finish(light);
  BOOST_TEST(site.outcome(0).served() >= 0.98);
  BOOST_TEST(site.outcome(1).served() >= 0.98);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// Upstreams restart while their sidecars hold packets: callers of lost flows
// get a reset and are served at the next attempt.
BOOST_AUTO_TEST_CASE(RestartedUpstreamWithFullQueue) {
  ScheduledSite site({.upstreams = 4}, {kUrgentKind, kOtherKind});
  const double capacity = site.Capacity();
  site.Run(seconds(3), {0.5 * capacity, 1.0 * capacity});
  auto& sim = site.sim();
  BOOST_TEST(sim.sidecar(0).requests_waiting() > 0U);
  sim.RestartUpstream(0);
  sim.Report(0);
  BOOST_TEST(sim.sidecar(0).requests_waiting() == 0U);
  const std::vector<double> light{0.2 * capacity, 0.2 * capacity};
  site.Run(seconds(4), light);
  site.StartMeasurement();
  site.Run(seconds(2), light);
  site.Finish(light);
  BOOST_TEST(site.outcome(0).served() >= 0.98);
  BOOST_TEST(site.outcome(1).served() >= 0.98);
  BOOST_TEST(sim.wrong_resets() == 0);
}

// Balancers of the previous build send frames without a class.
BOOST_AUTO_TEST_CASE(FramesWithoutAClassAreServedBesideOthers) {
  for (const double share : {0.6, 1.3}) {
    ScheduledSite site({.upstreams = 8}, {kUrgentKind, kOtherKind});
    auto& sim = site.sim();
    for (int i = 0; i < 2; ++i) sim.SetFrameVersion(i, 0);
    sim.UpdateAllMembers();
    const double capacity = site.Capacity();
    const std::vector<double> rates{0.3 * share * capacity,
                                    0.7 * share * capacity};
    site.Run(seconds(3), rates);
    site.StartMeasurement();
    site.Run(seconds(4), rates);
    site.Finish(rates);
    const auto sum = Sum(site);
    BOOST_TEST_MESSAGE(share << " of capacity: urgent "
                             << site.outcome(0).served() << ", other "
                             << site.outcome(1).served());
    // At 1.3 times the capacity, 0.77 of the requests can be served.
    BOOST_TEST(sum.answered() >= (share < 1 ? 0.98 : 0.9 / share));
    BOOST_TEST(site.CountedIdleSlots() == 0U);
    BOOST_TEST(sim.wrong_resets() == 0);
  }
}

namespace {

PendingPacket MakeSyn(std::uint16_t port, std::uint32_t copy = 0) {
  PendingPacket syn;
  syn.segment.flow = {{0x64400001, port}, {0xC6120001, 443}};
  syn.segment.syn = true;
  syn.segment.ack = copy;
  return syn;
}

Ack Overloaded() {
  Ack ack;
  ack.verdict = AckStatus::kNotFound;
  ack.syn = true;
  ack.overloaded = true;
  return ack;
}

}  // namespace

BOOST_AUTO_TEST_CASE(SynIsRefusedOnlyIfNothingRan) {
  SynRefusal refusal;
  const auto ack = Overloaded();
  BOOST_TEST((refusal.Decide(MakeSyn(1), ack, true, false, kStart) ==
              SynOutcome::kRefuse));
  // An earlier copy, or a transmission without an acknowledgement, may have
  // been accepted.
  BOOST_TEST((refusal.Decide(MakeSyn(2, 1), ack, true, false, kStart) ==
              SynOutcome::kWait));
  auto lost = MakeSyn(3);
  lost.unacknowledged = true;
  BOOST_TEST(
      (refusal.Decide(lost, ack, true, false, kStart) == SynOutcome::kWait));
  // Members that accept nothing may do so before the time limit.
  Ack closed = ack;
  closed.overloaded = false;
  BOOST_TEST((refusal.Decide(MakeSyn(4), closed, true, false, kStart) ==
              SynOutcome::kWait));
  // An evacuation is refused under the same condition.
  closed.evacuated = true;
  BOOST_TEST((refusal.Decide(MakeSyn(5), closed, true, false, kStart) ==
              SynOutcome::kEvacuated));
  BOOST_TEST(
      (refusal.Decide(lost, closed, true, false, kStart) == SynOutcome::kWait));
}

// Guards against callers that are refused at every attempt although others are
// served.
BOOST_AUTO_TEST_CASE(RefusedCallerIsNotRefusedAgainWhileThereIsCapacity) {
  SynRefusal refusal;
  const auto ack = Overloaded();
  refusal.Decide(MakeSyn(1), ack, true, false, kStart);
  auto next = MakeSyn(2);
  const auto soon = kStart + milliseconds(100);
  BOOST_TEST(refusal.PrefersForced(next.segment, soon));
  BOOST_TEST(
      (refusal.Decide(next, ack, true, true, soon) == SynOutcome::kForce));
  next.was_forced = true;
  BOOST_TEST(
      (refusal.Decide(next, ack, true, true, soon) == SynOutcome::kWait));
  BOOST_TEST(
      (refusal.Decide(next, ack, true, false, soon) == SynOutcome::kRefuse));
  BOOST_TEST(
      !refusal.PrefersForced(next.segment, soon + RefusedCallers::kLifetime));
  BOOST_TEST((refusal.Decide(next, ack, true, true,
                             soon + RefusedCallers::kProtection) ==
              SynOutcome::kRefuse));
}

BOOST_AUTO_TEST_CASE(TableOfRefusedCallersIsLimited) {
  RefusedCallers callers;
  FlowKey flow{{1, 1}, {0xC6120001, 443}};
  auto now = kStart;
  for (int i = 0; i < 3 * static_cast<int>(RefusedCallers::kCapacity); ++i) {
    ++flow.caller.address;
    now += std::chrono::microseconds(50);
    callers.Add(flow, now);
    BOOST_REQUIRE(callers.size() <= RefusedCallers::kCapacity);
    BOOST_REQUIRE(callers.WasRefused(flow, RefusedCallers::kLifetime, now));
  }
}

// Guards against cold upstreams that count as 1.6 times as slow as measured,
// so that SYNs are refused which they could answer.
BOOST_AUTO_TEST_CASE(ColdUpstreamCountsAsMeasuredAfterThreeResponses) {
  LoadEstimator load;
  load.SetSlots(2);
  load.SetWarmup(true);
  auto now = kStart;
  const auto answer = [&] {
    const auto start = load.OnStarted(now);
    now += milliseconds(20);
    load.OnResponse(start, now);
  };
  BOOST_TEST((load.AnswerTime() == milliseconds(32)));
  answer();
  answer();
  BOOST_TEST((load.AnswerTime() == milliseconds(32)));
  answer();
  BOOST_TEST((load.AnswerTime() == milliseconds(20)));
  load.Reset(now);
  BOOST_TEST((load.AnswerTime() == milliseconds(32)));
}

}  // namespace cowslip::segment::test
