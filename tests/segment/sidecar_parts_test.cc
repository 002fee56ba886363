// Unit tests of the types that a sidecar consists of, and of the frame
// encoding.
#define BOOST_TEST_MODULE sidecar_parts
#include <boost/test/unit_test.hpp>

#include "cowslip/segment.h"

namespace cowslip::segment {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};

UpstreamReport MakeReport(const std::string& id, int born_ms,
                          std::uint64_t sequence, bool draining = false) {
  UpstreamReport report;
  report.id = id;
  report.started_at = milliseconds(born_ms);
  report.sequence = sequence;
  report.draining = draining;
  report.slots = 2;
  return report;
}

FlowKey MakeFlow(std::uint16_t port) {
  return {{0x64400001, port}, {0xC6120001, 443}};
}

}  // namespace

BOOST_AUTO_TEST_CASE(UpstreamAcceptsAfterFirstReport) {
  UpstreamStateTracker upstream_state;
  BOOST_TEST(!upstream_state.open());
  upstream_state.OnReport(MakeReport("a", 1, 1), kStart);
  BOOST_TEST(upstream_state.open());
}

BOOST_AUTO_TEST_CASE(LateReportDoesNotEndDraining) {
  UpstreamStateTracker upstream_state;
  upstream_state.OnReport(MakeReport("a", 1, 1), kStart);
  upstream_state.OnReport(MakeReport("a", 1, 3, true), kStart + seconds(1));
  BOOST_TEST(
      (upstream_state.OnReport(MakeReport("a", 1, 2), kStart + seconds(2)) ==
       ReportResult::kOutdated));
  BOOST_TEST(!upstream_state.open());
}

BOOST_AUTO_TEST_CASE(DrainedUpstreamStaysClosedUntilRestart) {
  UpstreamStateTracker upstream_state;
  upstream_state.OnReport(MakeReport("a", 1, 1, true), kStart);
  upstream_state.OnReport(MakeReport("a", 1, 2), kStart + seconds(1));
  BOOST_TEST(!upstream_state.open());
  upstream_state.OnDeregistered("a", std::nullopt);
  upstream_state.OnReport(MakeReport("a", 1, 3), kStart + seconds(2));
  BOOST_TEST(!upstream_state.open());
}

BOOST_AUTO_TEST_CASE(RestartWithSameIdIsDetected) {
  UpstreamStateTracker upstream_state;
  upstream_state.OnReport(MakeReport("a", 1, 9, true), kStart);
  BOOST_TEST(
      (upstream_state.OnReport(MakeReport("a", 500, 1), kStart + seconds(1)) ==
       ReportResult::kNewIncarnation));
  BOOST_TEST(upstream_state.open());
  BOOST_TEST((upstream_state.report().started_at == milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(ReportOfEarlierProcessIsOutdated) {
  UpstreamStateTracker upstream_state;
  upstream_state.OnReport(MakeReport("b", 500, 1), kStart);
  BOOST_TEST((upstream_state.OnReport(MakeReport("a", 1, 9, true),
                                      kStart + seconds(1)) ==
              ReportResult::kOutdated));
  BOOST_TEST(upstream_state.open());
}

BOOST_AUTO_TEST_CASE(RestartIsAcceptedAfterClockWasSetBack) {
  UpstreamStateTracker upstream_state;
  upstream_state.OnReport(MakeReport("a", 5000, 4), kStart);
  upstream_state.OnDeregistered("a", std::nullopt);
  upstream_state.OnReport(MakeReport("b", 3000, 1), kStart + milliseconds(500));
  BOOST_TEST(upstream_state.open());
}

BOOST_AUTO_TEST_CASE(UnresponsiveUpstreamIsClosedUntilItAnswers) {
  UpstreamStateTracker upstream_state;
  upstream_state.OnReport(MakeReport("a", 1, 1), kStart);
  upstream_state.OnUnanswered();
  BOOST_TEST(upstream_state.open());
  upstream_state.OnUnanswered();
  BOOST_TEST(!upstream_state.open());
  upstream_state.OnAnswered();
  BOOST_TEST(upstream_state.open());
}

BOOST_AUTO_TEST_CASE(DeregistrationOfOtherProcessIsIgnored) {
  UpstreamStateTracker upstream_state;
  upstream_state.OnReport(MakeReport("b", 2, 1), kStart);
  upstream_state.OnDeregistered("a", std::nullopt);
  BOOST_TEST(upstream_state.open());
}

// An upstream has started again under its id; the message of the process before
// was delayed.
BOOST_AUTO_TEST_CASE(LateDeregistrationDoesNotCloseTheNextProcess) {
  UpstreamStateTracker upstream_state;
  BOOST_TEST(!upstream_state.OnDeregistered("a", milliseconds(1)));
  upstream_state.OnReport(MakeReport("a", 2, 1), kStart);
  BOOST_TEST(!upstream_state.OnDeregistered("a", milliseconds(1)));
  BOOST_TEST(upstream_state.open());
  BOOST_TEST(upstream_state.OnDeregistered("a", milliseconds(2)));
  BOOST_TEST((upstream_state.state() == Lifecycle::kDeregistered));
}

BOOST_AUTO_TEST_CASE(LoadCountsExpectedAndRunningRequests) {
  LoadEstimator load;
  load.SetSlots(2);
  load.OnRequestExpected();
  const auto request = load.OnStarted(kStart);
  BOOST_TEST(!load.HasFreeSlot());
  BOOST_TEST(load.free_slots() == 0);
  load.OnResponse(request, kStart + milliseconds(20));
  BOOST_TEST(load.HasFreeSlot());
  load.OnExpectedRequestEnded();
  BOOST_TEST(load.free_slots() == 2);
}

BOOST_AUTO_TEST_CASE(ExpectedWaitDependsOnServiceTime) {
  LoadEstimator fast;
  LoadEstimator slow;
  auto now = kStart;
  for (int i = 0; i < 60; ++i) {
    const auto fast_request = fast.OnStarted(now);
    const auto slow_request = slow.OnStarted(now);
    fast.OnResponse(fast_request, now + milliseconds(10));
    now += milliseconds(40);
    slow.OnResponse(slow_request, now);
  }
  BOOST_TEST((fast.ExpectedWait(now) * 2 < slow.ExpectedWait(now)));
}

BOOST_AUTO_TEST_CASE(ExpectedWaitGrowsWithQueueLength) {
  LoadEstimator load;
  load.SetSlots(2);
  const auto idle = load.ExpectedWait(kStart);
  for (int i = 0; i < 6; ++i) load.OnStarted(kStart);
  BOOST_TEST((load.ExpectedWait(kStart) > 3 * idle));
  BOOST_TEST(!load.CanQueue());
}

BOOST_AUTO_TEST_CASE(FlowTableExpiresByStateAndAge) {
  FlowStateTable flows;
  flows.Start(MakeFlow(1), FlowState::kSynSent, kStart);
  flows.Start(MakeFlow(2), FlowState::kClosed, kStart);
  flows.Start(MakeFlow(3), FlowState::kEstablished, kStart);
  int removed = 0;
  const auto count = [&](const FlowKey&, const FlowEntry&) { ++removed; };
  flows.Expire(kStart + seconds(4), count);
  BOOST_TEST(removed == 1);
  // Closed flows are kept for late packets.
  BOOST_TEST((flows.Find(MakeFlow(2)) != nullptr));
  flows.Expire(kStart + seconds(11), count);
  BOOST_TEST((flows.Find(MakeFlow(2)) == nullptr));
  BOOST_TEST((flows.Find(MakeFlow(3)) != nullptr));
}

BOOST_AUTO_TEST_CASE(FlowTableIsBoundedAndKeepsEstablishedFlows) {
  FlowStateTable flows;
  flows.Start(MakeFlow(0), FlowState::kEstablished, kStart);
  for (std::size_t i = 1; i < FlowStateTable::kCapacity + 10; ++i) {
    flows.Start(MakeFlow(static_cast<std::uint16_t>(i)), FlowState::kClosed,
                kStart + milliseconds(i));
  }
  BOOST_TEST(flows.size() == FlowStateTable::kCapacity);
  BOOST_TEST(flows.evicted() == 10U);
  BOOST_TEST((flows.Find(MakeFlow(0)) != nullptr));
}

BOOST_AUTO_TEST_CASE(FrameRingFindsOnlyFramesOfSameFlow) {
  FrameRing ring;
  SegmentFrame frame;
  frame.hop_count = 3;
  const auto token = ring.Store(MakeFlow(1), frame);
  BOOST_TEST(ring.Find(token, MakeFlow(1))->hop_count == 3);
  BOOST_TEST(!ring.Find(token, MakeFlow(2)));
  BOOST_TEST(!ring.Find(FrameRing::kNoToken, MakeFlow(1)));
  for (std::size_t i = 0; i < FrameRing::kCapacity; ++i) {
    ring.Store(MakeFlow(2), frame);
  }
  BOOST_TEST(!ring.Find(token, MakeFlow(1)));
}

BOOST_AUTO_TEST_CASE(FrameRoundTrip) {
  SegmentFrame frame;
  frame.config = 77;
  frame.service = TagOf("vault");
  frame.balancer = 0x0A010010;
  frame.place = 1;
  frame.hop_count = 3;
  frame.hops = {1, 2, 3};
  frame.searched = true;
  frame.best_wait_us = 12;
  const Bytes packet{1, 2, 3, 4};
  Bytes wire;
  AppendSegmentFrame(frame, packet, wire);
  ByteView inner;
  const auto read = DecodeSegmentFrame(wire, inner);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->config == 77U);
  BOOST_TEST((read->service == frame.service));
  BOOST_TEST(read->hops[2] == 3U);
  BOOST_TEST(read->searched);
  BOOST_TEST(Bytes(inner.begin(), inner.end()) == packet,
             boost::test_tools::per_element());
}

// Guards against a class that is lost on the way, and against frames that
// sidecars of earlier builds can't read.
BOOST_AUTO_TEST_CASE(FrameWithRequestClassRoundTrip) {
  SegmentFrame frame;
  frame.hop_count = 1;
  frame.time_left = milliseconds(270);
  const Bytes packet{1, 2, 3, 4};
  Bytes plain;
  AppendSegmentFrame(frame, packet, plain);
  BOOST_TEST((KindOf(plain) == FrameKind::kSegment));

  frame.request = RequestClass{1, milliseconds(2000)};
  Bytes classified;
  AppendSegmentFrame(frame, packet, classified);
  BOOST_TEST((KindOf(classified) == FrameKind::kClassifiedSegment));
  BOOST_TEST(classified.size() == plain.size() + 8);
  ByteView inner;
  const auto read = DecodeSegmentFrame(classified, inner);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->request == frame.request));
  BOOST_TEST((read->time_left == frame.time_left));
  BOOST_TEST(Bytes(inner.begin(), inner.end()) == packet,
             boost::test_tools::per_element());
  for (std::size_t size = 0; size + packet.size() < classified.size(); ++size) {
    BOOST_TEST(!DecodeSegmentFrame(ByteView(classified).first(size), inner));
  }
}

// Guards against a limit that is lost on the way, and against a format that
// differs between builds: bytes as this version writes them.
BOOST_AUTO_TEST_CASE(FrameWithWarmUpLimitRoundTrip) {
  const Bytes packet{1, 2, 3, 4};
  const std::optional<RequestClass> classes[] = {
      std::nullopt, RequestClass{1, milliseconds(0x102)}};
  for (const auto& request : classes) {
    SegmentFrame frame;
    frame.hop_count = 1;
    Bytes plain;
    AppendSegmentFrame(frame, packet, plain);
    frame.request = request;
    frame.warm_up_limit = scheduling::RequestRate::FromPerSecond(20.5);
    Bytes limited;
    AppendSegmentFrame(frame, packet, limited);
    Bytes expected(plain.begin(), plain.begin() + 4);
    for (const int each : {7, request ? 1 : 255, request ? 2 : 0,
                           request ? 1 : 0, 0x14, 0x50, 0, 0}) {
      expected.push_back(static_cast<std::uint8_t>(each));
    }
    expected.insert(expected.end(), plain.begin(), plain.end());
    BOOST_TEST(limited == expected, boost::test_tools::per_element());
    ByteView inner;
    const auto read = DecodeSegmentFrame(limited, inner);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->request == request));
    BOOST_TEST((read->warm_up_limit == frame.warm_up_limit));
    BOOST_TEST(inner.size() == packet.size());
    for (std::size_t size = 0; size + packet.size() < limited.size(); ++size) {
      BOOST_TEST(!DecodeSegmentFrame(ByteView(limited).first(size), inner));
    }
  }
}

BOOST_AUTO_TEST_CASE(InvalidFramesAreRejected) {
  SegmentFrame frame;
  frame.hop_count = 2;
  frame.hops = {1, 2};
  Bytes wire;
  AppendSegmentFrame(frame, Bytes{9}, wire);
  ByteView inner;
  for (std::size_t size = 0; size + 1 < wire.size(); ++size) {
    BOOST_TEST(!DecodeSegmentFrame(ByteView(wire).first(size), inner));
  }
  auto out_of_range = frame;
  out_of_range.place = 2;
  Bytes bad;
  AppendSegmentFrame(out_of_range, Bytes{9}, bad);
  BOOST_TEST(!DecodeSegmentFrame(bad, inner));
  BOOST_TEST(!KindOf(Bytes{1, 2, 3, 4, 1}));
}

BOOST_AUTO_TEST_CASE(NewRoutesKeepFormerServices) {
  const Endpoint address{1, 443};
  RouteTable before;
  before.routes[address].targets.push_back({TagOf("old"), 1});
  RouteTable after;
  after.routes[address].targets.push_back({TagOf("new"), 1});
  after.InheritFormerServices(before);
  BOOST_REQUIRE(after.Find(address)->former_services.size() == 1U);
  BOOST_TEST((after.Find(address)->former_services.front() == TagOf("old")));
  BOOST_TEST((after.Find(address)->ChooseService(123) == TagOf("new")));
}

BOOST_AUTO_TEST_CASE(HistogramCountsByUpperBound) {
  LatencyHistogram histogram;
  histogram.Record(milliseconds(1));
  histogram.Record(milliseconds(3));
  histogram.Record(seconds(9));
  BOOST_TEST(histogram.counts().front() == 1U);
  BOOST_TEST(histogram.counts()[2] == 1U);
  BOOST_TEST(histogram.counts().back() == 1U);
  BOOST_TEST((histogram.sum() == milliseconds(9004)));
}

namespace {

/// Sockets found at the upstream's address in the phases of an upstream that
/// reports for a while and then sends nothing; std::nullopt if they can't be
/// looked up.
struct PortCase {
  std::string_view name;
  std::optional<SocketId> before_report;
  std::optional<SocketId> reporting;
  std::optional<SocketId> silent;
  bool survives;  ///< Its flows are kept while it is silent.
};

constexpr PortCase kPortCases[] = {
    {"suspended", 0, 7, 7, true},
    {"crashed", 0, 7, 0, false},
    {"replaced by another process", 0, 7, 8, false},
    {"port held by a proxy, or crash that keeps the port", 7, 7, 7, false},
    {"in another network namespace", 0, 0, 0, false},
    {"no look-ups", std::nullopt, std::nullopt, std::nullopt, false},
    {"look-ups fail later", 0, 7, std::nullopt, false},
};

/// Runs the ticks of a sidecar; the port has a state meanwhile.
void RunTicks(UpstreamPresence& presence, TimePoint& now, Duration time,
              std::optional<SocketId> socket) {
  constexpr milliseconds kTick{20};
  for (const auto end = now + time; now < end;) {
    now += kTick;
    if (presence.PortLookupIsDue()) presence.OnPortLookup(socket);
    presence.OnTick(now);
  }
}

}  // namespace

// Flows of a suspended upstream must not be reset, and those of a crashed one
// after two reports and 200 ms, also where the port does not tell the two
// apart.
BOOST_AUTO_TEST_CASE(PortTellsSuspendedFromCrashedUpstream) {
  for (const auto& each : kPortCases) {
    BOOST_TEST_CONTEXT(each.name) {
      UpstreamPresence presence;
      presence.SetReportInterval(milliseconds(300));
      auto now = kStart;
      RunTicks(presence, now, seconds(1), each.before_report);
      for (int i = 0; i < 4; ++i) {
        presence.OnReport(/*new_process=*/false);
        RunTicks(presence, now, milliseconds(300), each.reporting);
      }
      presence.OnReport(/*new_process=*/false);
      RunTicks(presence, now, milliseconds(800), each.silent);
      BOOST_TEST(!presence.is_silent());
      RunTicks(presence, now, milliseconds(20), each.silent);
      BOOST_TEST(presence.is_silent());
      BOOST_TEST(presence.is_absent() == !each.survives);
      RunTicks(presence, now, UpstreamPresence::kMaxSilence, each.silent);
      BOOST_TEST(presence.is_absent());
    }
  }
}

// A socket that outlives one process of the upstream is no evidence of the next
// one, nor is one that is open again after it was closed.
BOOST_AUTO_TEST_CASE(SocketThatOutlivesItsProcessIsNoEvidence) {
  UpstreamPresence presence;
  auto now = kStart;
  presence.AdoptPortTracking();
  presence.OnReport(/*new_process=*/false);
  RunTicks(presence, now, seconds(3), 7);
  BOOST_TEST(!presence.is_absent());
  RunTicks(presence, now, milliseconds(200), 0);
  BOOST_TEST(presence.is_absent());
  RunTicks(presence, now, seconds(1), 7);
  BOOST_TEST(presence.is_absent());
  presence.OnReport(/*new_process=*/true);
  RunTicks(presence, now, seconds(3), 7);
  BOOST_TEST(!presence.is_absent());
  presence.OnReport(/*new_process=*/true);
  BOOST_TEST(!presence.port_tracks_upstream());
  RunTicks(presence, now, seconds(3), 7);
  BOOST_TEST(presence.is_absent());
}

BOOST_AUTO_TEST_CASE(NewFlowsFollowRouteWeights) {
  Route route;
  route.targets = {{TagOf("a"), 90}, {TagOf("b"), 10}};
  int to_b = 0;
  for (std::uint16_t port = 0; port < 10000; ++port) {
    to_b += route.ChooseService(HashFlow(MakeFlow(port))) == TagOf("b");
  }
  BOOST_TEST(to_b > 800);
  BOOST_TEST(to_b < 1200);
}

}  // namespace cowslip::segment
