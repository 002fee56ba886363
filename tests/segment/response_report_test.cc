// What sidecars see and report of responses, and what balancers do with it.
#define BOOST_TEST_MODULE response_report
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cowslip/segment.h"

namespace cowslip::segment::test {
namespace {

using outlier::ResponseReport;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kAddress{0xC6120001, 443};
constexpr InstanceAddress kSidecar = 2000;
/// Of an acknowledgement in earlier builds, with four bytes of padding.
constexpr std::size_t kAckBytes = 48;

class OutlierLog final : public Observer {
 public:
  void OnDecision(const FlowDecision&) override {}
  void OnOutlierChange(const outlier::OutlierChange& change) override {
    changes.push_back(change);
  }
  std::vector<outlier::OutlierChange> changes;
};

/// A sidecar with an upstream whose packets are made up.
class Exchange {
 public:
  Exchange() : sidecar_(kSidecar, TagOf("vault"), log_, {now_, {}}) {
    Report("a", 1);
  }
  void Report(const char* id, std::uint64_t number) {
    sidecar_.OnReport({.id = id,
                       .started_at = milliseconds(number),
                       .sequence = number,
                       .slots = 2},
                      now_);
  }
  void Open(std::uint16_t port) {
    flow_ = {{0x64400001, port}, kAddress};
    caller_seq_ = 1;
    Segment segment{.flow = flow_, .syn = true};
    FromCaller(segment);
    segment.ack_flag = true;
    FromUpstream(segment);
  }
  void Ask(std::uint16_t bytes) {
    Segment segment{.flow = flow_, .ack_flag = true, .seq = caller_seq_};
    segment.length = bytes;
    caller_seq_ += bytes;
    FromCaller(segment);
  }
  void Answer(std::uint16_t bytes) {
    Segment segment{.flow = flow_, .ack_flag = true, .seq = 1};
    segment.length = bytes;
    FromUpstream(segment);
  }
  void CallerEnds(bool reset) {
    Segment segment{.flow = flow_, .ack_flag = true, .fin = !reset};
    segment.rst = reset;
    FromCaller(segment);
  }
  void UpstreamEnds(bool reset) {
    Segment segment{.flow = flow_, .ack_flag = true, .fin = !reset};
    segment.rst = reset;
    FromUpstream(segment);
  }
  void Wait(Duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += milliseconds(20)) {
      Outbox out;
      sidecar_.OnTick(now_, out);
    }
  }
  /// The upstream answers some requests as usual.
  void Warm() {
    for (std::uint16_t port = 1; port <= 18; ++port) {
      Open(port);
      Ask(100);
      Wait(milliseconds(40));
      Answer(600);
      CallerEnds(false);
      UpstreamEnds(false);
    }
  }
  ResponseReport report() const {
    return sidecar_.responses().Report(kAddress, now_);
  }
  Sidecar& sidecar() { return sidecar_; }
  TimePoint now() const { return now_; }

 private:
  void FromCaller(const Segment& segment) {
    SegmentFrame frame;
    frame.service = TagOf("vault");
    frame.balancer = 1000;
    frame.hop_count = 1;
    frame.hops[0] = kSidecar;
    frame.request = RequestClass{1, milliseconds(1500)};
    Outbox out;
    sidecar_.OnFrame(frame, segment, Bytes(20), now_, out);
  }
  void FromUpstream(const Segment& segment) {
    Outbox out;
    sidecar_.OnUpstreamPacket(segment, Bytes(20), now_, out);
  }

  TimePoint now_{seconds(1000)};
  OutlierLog log_;
  Sidecar sidecar_;
  FlowKey flow_;
  std::uint32_t caller_seq_ = 1;
};

/// An acknowledgement that no member of the list has taken a SYN.
Ack NotTaken(const FlowKey& flow) {
  Ack ack;
  ack.verdict = AckStatus::kNotFound;
  ack.syn = true;
  ack.open = true;
  ack.overloaded = true;
  ack.flow = flow;
  return ack;
}

}  // namespace

// Guards against failures that are not counted, and against answered requests
// that count as failed.
BOOST_AUTO_TEST_CASE(RequestsCountByHowTheyEnd) {
  struct Case {
    const char* name;
    void (*act)(Exchange&);
    int failures;
  };
  const auto answered = [](Exchange& x) { x.Answer(600); };
  const Case cases[] = {
      {"answered", answered, 0},
      {"answered, then the caller resets",
       [](Exchange& x) {
         x.Answer(600);
         x.CallerEnds(true);
       },
       0},
      {"the caller ends its side, then the response",
       [](Exchange& x) {
         x.CallerEnds(false);
         x.Answer(600);
       },
       0},
      {"small response", [](Exchange& x) { x.Answer(90); }, 1},
      {"small response to an upload",
       [](Exchange& x) {
         for (int i = 0; i < 5; ++i) x.Ask(1200);
         x.Answer(90);
       },
       0},
      {"reset", [](Exchange& x) { x.UpstreamEnds(true); }, 1},
      {"closed without response", [](Exchange& x) { x.UpstreamEnds(false); },
       1},
      {"abandoned", [](Exchange& x) { x.CallerEnds(true); }, 1},
      {"no response", [](Exchange& x) { x.Wait(milliseconds(1600)); }, 1},
      {"late response", [](Exchange& x) { x.Wait(milliseconds(1200)); }, 0},
      {"sidecar suspended",
       [](Exchange& x) { x.sidecar().OnResume(x.now() + seconds(3)); }, 0},
      {"upstream restarted", [](Exchange& x) { x.Report("b", 2); }, 0},
  };
  for (const auto& each : cases) {
    Exchange exchange;
    exchange.Warm();
    exchange.Wait(milliseconds(300));
    BOOST_TEST(exchange.report().failures == 0U, each.name);
    BOOST_TEST(exchange.report().good_run == 18U, each.name);
    BOOST_TEST((exchange.report().response_time > milliseconds(39)));
    BOOST_TEST((exchange.report().response_time < milliseconds(41)));
    exchange.Open(100);
    exchange.Ask(100);
    each.act(exchange);
    exchange.Wait(milliseconds(300));
    BOOST_TEST(exchange.report().failures == each.failures, each.name);
  }
  Exchange exchange;
  BOOST_TEST(exchange.report().is_empty);
  exchange.Warm();
  exchange.Report("b", 2);
  BOOST_TEST(exchange.report().is_empty);
}

// Guards against acknowledgements that the previous build does not read, or
// that are read wrongly from it: it ignores the last four bytes and writes 0.
BOOST_AUTO_TEST_CASE(EarlierBuildsReadAndWriteAcks) {
  Ack ack;
  ack.verdict = AckStatus::kAccepted;
  ack.open = true;
  ack.config = 77;
  ack.free_slots = 3;
  ack.evacuated = true;
  ack.flow = {{0x64400001, 5}, kAddress};
  Bytes earlier;
  AppendAck(ack, earlier);
  BOOST_TEST(earlier.size() == kAckBytes);
  const std::vector<ResponseReport> reports{
      {},
      {.is_empty = true},
      {.failure_share = 0.0, .response_time = milliseconds(1), .good_run = 250},
      {.failure_share = 1.0,
       .response_time = seconds(20),
       .good_run = 3,
       .failures = 255},
  };
  for (const auto& report : reports) {
    ack.responses = report;
    Bytes wire;
    AppendAck(ack, wire);
    BOOST_TEST(wire.size() == kAckBytes);
    BOOST_TEST(std::equal(wire.begin(), wire.end() - 4, earlier.begin()));
    const auto read = DecodeAck(wire);
    BOOST_REQUIRE((read && read->responses));
    BOOST_TEST(read->config == 77U);
    BOOST_TEST(read->responses->is_empty == report.is_empty);
    BOOST_TEST(read->responses->good_run == report.good_run);
    BOOST_TEST(read->responses->failures == report.failures);
    BOOST_TEST((read->responses->failure_share == report.failure_share));
    BOOST_TEST(read->responses->response_time.has_value() ==
               report.response_time.has_value());
    if (!report.response_time) continue;
    const auto ratio =
        std::chrono::duration<double>(*read->responses->response_time) /
        std::chrono::duration<double>(*report.response_time);
    BOOST_TEST(ratio > 0.95);
    BOOST_TEST(ratio < 1.05);
  }
  std::fill(earlier.end() - 4, earlier.end(), 0);
  BOOST_TEST(!DecodeAck(earlier)->responses);
}

// Guards against new connections to an outlier while others take them, and
// against a refusal while an outlier was not asked.
BOOST_AUTO_TEST_CASE(OutlierIsOfferedConnectionsLast) {
  TimePoint now{seconds(100)};
  OutlierLog log;
  Balancer balancer(1000, log, now);
  auto routes = std::make_shared<RouteTable>();
  routes->version = 1;
  routes->routes[kAddress].targets.push_back({TagOf("vault"), 1});
  routes->routes[kAddress].latency_target = milliseconds(300);
  balancer.SetRoutes(routes, true, now);
  std::vector<Member> members;
  for (InstanceAddress i = 0; i < 5; ++i) {
    members.push_back({kSidecar + i, true, 0, kFrameVersion});
  }
  balancer.SetMembers(TagOf("vault"), members, now);
  std::uint16_t port = 0;
  const auto open = [&](Outbox& out) {
    Segment syn;
    syn.flow = {{0x64400001, ++port}, kAddress};
    syn.syn = true;
    balancer.OnPacket(syn, Bytes(20), now, out);
    return syn.flow;
  };
  const auto report = [&] {
    for (const auto& member : members) {
      Ack ack;
      ack.verdict = AckStatus::kProbeReply;
      ack.open = true;
      ack.flow.service = kAddress;
      const bool fails = member.sidecar == kSidecar;
      ack.responses = ResponseReport{.failure_share = fails ? 0.4 : 0.0};
      Outbox out;
      balancer.OnAck(member.sidecar, ack, now, out);
    }
  };
  for (int i = 0; i < 4; ++i) {
    report();
    Outbox out;
    auto accepted = NotTaken(open(out));
    accepted.verdict = AckStatus::kAccepted;
    balancer.OnAck(out.effects()[0].instance, accepted, now, out);
    now += milliseconds(100);
  }
  Outbox tick;
  balancer.OnTick(now, tick);
  BOOST_REQUIRE(log.changes.size() == 1);
  BOOST_TEST(log.changes[0].begins);
  for (int i = 0; i < 20; ++i) {
    Outbox out;
    const auto flow = open(out);
    ByteView packet;
    const auto frame =
        DecodeSegmentFrame(out.Datagram(out.effects()[0]), packet);
    BOOST_TEST(!frame->HasHop(kSidecar));
    BOOST_TEST(frame->hop_count == 4);
    out.Clear();
    balancer.OnAck(kSidecar + 1, NotTaken(flow), now, out);
    BOOST_REQUIRE(out.effects().size() == 1);
    BOOST_TEST(out.effects()[0].instance == kSidecar);
    out.Clear();
    balancer.OnAck(kSidecar, NotTaken(flow), now, out);
    BOOST_REQUIRE(out.effects().size() == 1);
    BOOST_TEST((out.effects()[0].kind == EffectKind::kResetCaller));
  }
  // The first connection after a second is a trial, and the next is not.
  now += seconds(1);
  report();
  Outbox out;
  open(out);
  open(out);
  BOOST_TEST(out.effects()[0].instance == kSidecar);
  BOOST_TEST(out.effects()[1].instance != kSidecar);
  BOOST_TEST(balancer.stats().outlier_trials == 1U);
}

}  // namespace cowslip::segment::test
