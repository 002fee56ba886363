// Tests what a process knows of flows that it has not seen: what proves
// ownership, and from when on nothing can have been missed.
#define BOOST_TEST_MODULE flow_knowledge
#include <boost/test/unit_test.hpp>

#include "cowslip/segment.h"

namespace cowslip::segment {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ProcessStart kStart{TimePoint{seconds(500)}, milliseconds(1'000'000)};
constexpr milliseconds kReportInterval{1200};

UpstreamReport MakeReport(milliseconds after_start, std::uint64_t sequence) {
  UpstreamReport report;
  report.id = "a";
  report.started_at = kStart.time_of_day + after_start;
  report.sequence = sequence;
  return report;
}

UnseenFlows MakeUnseenFlows() {
  UnseenFlows unseen(kStart);
  unseen.SetReportInterval(kReportInterval);
  return unseen;
}

TimePoint After(Duration time) { return kStart.steady + time; }

}  // namespace

BOOST_AUTO_TEST_CASE(OnlyPacketsOfAnOpenFlowProveOwnership) {
  Segment packet;
  packet.ack_flag = true;
  BOOST_TEST(ProvesOwnership(packet));
  packet.fin = true;
  BOOST_TEST(ProvesOwnership(packet));
  packet = {};
  packet.syn = true;
  packet.ack_flag = true;
  BOOST_TEST(!ProvesOwnership(packet));
  packet = {};
  packet.rst = true;
  BOOST_TEST(!ProvesOwnership(packet));
}

BOOST_AUTO_TEST_CASE(HandshakeIsAcceptedByItsSequenceNumberOnly) {
  Segment packet;
  packet.ack = 1000;
  BOOST_TEST(AcceptsHandshake(packet, 1000));
  BOOST_TEST(AcceptsHandshake(packet, 999));
  BOOST_TEST(!AcceptsHandshake(packet, 998));
  BOOST_TEST(!AcceptsHandshake(packet, 1001));
  packet.ack = 0;
  BOOST_TEST(AcceptsHandshake(packet, UINT32_MAX));
}

BOOST_AUTO_TEST_CASE(WindowCoversAllFlowsOnceTheyCanHaveEnded) {
  KnowledgeWindow window(After(seconds(0)));
  BOOST_TEST(!window.CoversAllFlows(After(kMaxFlowAge - milliseconds(1))));
  BOOST_TEST(window.CoversAllFlows(After(kMaxFlowAge)));
  window.OpenGap(After(seconds(100)));
  BOOST_TEST(!window.CoversAllFlows(After(seconds(100))));
  BOOST_TEST(!window.CoversAllFlows(After(seconds(169))));
  BOOST_TEST(window.CoversAllFlows(After(seconds(170))));
}

BOOST_AUTO_TEST_CASE(NothingIsKnownOfAnUpstreamBeforeItsReport) {
  const auto unseen = MakeUnseenFlows();
  BOOST_TEST(unseen.MayExist(After(seconds(0))));
  BOOST_TEST(unseen.MayExist(After(seconds(69))));
  BOOST_TEST(!unseen.MayExist(After(seconds(70))));
}

// Whatever the store tells of the process before: it may have served this
// upstream, or its last write may be missing.
BOOST_AUTO_TEST_CASE(OlderUpstreamMayOwnUnseenFlows) {
  for (const milliseconds age : {milliseconds(101), milliseconds(700),
                                 milliseconds(1500), milliseconds(30'000)}) {
    auto unseen = MakeUnseenFlows();
    unseen.OnReport(MakeReport(-age, 1), After(milliseconds(10)));
    BOOST_TEST(unseen.MayExist(After(seconds(1))));
  }
}

// A sidecar that starts more than 100 ms after its upstream, as after a power
// loss.
BOOST_AUTO_TEST_CASE(UpstreamOwnsNoUnseenFlowsBeforeItsFirstReport) {
  for (const milliseconds age :
       {milliseconds(101), milliseconds(300), milliseconds(760)}) {
    auto unseen = MakeUnseenFlows();
    unseen.OnReport(MakeReport(-age, 1), After(milliseconds(10)));
    BOOST_TEST(unseen.MayExist(After(milliseconds(10))));
    unseen.OnReport(MakeReport(-age, 2), After(milliseconds(1210)));
    BOOST_TEST(!unseen.MayExist(After(milliseconds(1210))));
    unseen.OnReport(MakeReport(-age, 3), After(milliseconds(2410)));
    BOOST_TEST(!unseen.MayExist(After(milliseconds(2410))));
  }
}

// The upstream that sent it has gone, and an earlier process may have served
// the one after it.
BOOST_AUTO_TEST_CASE(EarlyReportOfAnUpstreamThatHasGoneProvesNothing) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(milliseconds(-700), 1), After(milliseconds(10)));
  unseen.OnReport(MakeReport(milliseconds(-400), 2), After(milliseconds(900)));
  BOOST_TEST(unseen.MayExist(After(seconds(1))));
  unseen.OnReport(MakeReport(milliseconds(-400), 3), After(milliseconds(2100)));
  BOOST_TEST(unseen.MayExist(After(seconds(3))));
}

// An earlier process may have acknowledged a later report meanwhile.
BOOST_AUTO_TEST_CASE(LateFirstReportProvesNothing) {
  for (const milliseconds age :
       {milliseconds(770), milliseconds(1500), milliseconds(30'000)}) {
    auto unseen = MakeUnseenFlows();
    unseen.OnReport(MakeReport(-age, 1), After(milliseconds(10)));
    unseen.OnReport(MakeReport(-age, 2), After(milliseconds(1210)));
    BOOST_TEST(unseen.MayExist(After(seconds(2))));
  }
}

// After a power loss, the first call of an upstream was refused because its
// sidecar did not listen yet, and its flows stayed unknown for 70 s.
BOOST_AUTO_TEST_CASE(UpstreamWhoseFirstReportsWereRefusedOwnsNoUnseenFlows) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(milliseconds(-35), 2), After(milliseconds(3)));
  BOOST_TEST(!unseen.MayExist(After(milliseconds(3))));
  unseen.OnReport(MakeReport(milliseconds(-35), 3), After(milliseconds(1203)));
  BOOST_TEST(!unseen.MayExist(After(milliseconds(1203))));
}

BOOST_AUTO_TEST_CASE(ManyReportsOfAnUpstreamThatSeemsNewProveThatItIsOlder) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(milliseconds(-35), 4), After(milliseconds(3)));
  BOOST_TEST(unseen.MayExist(After(milliseconds(3))));
}

// Their machine has started anew; the earlier process ended before that.
BOOST_AUTO_TEST_CASE(UpstreamThatStartedTogetherOwnsNoUnseenFlows) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(milliseconds(-40), 1), After(milliseconds(5)));
  BOOST_TEST(!unseen.MayExist(After(milliseconds(5))));
}

BOOST_AUTO_TEST_CASE(YoungerUpstreamOwnsNoUnseenFlows) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(milliseconds(0), 1), After(milliseconds(5)));
  BOOST_TEST(!unseen.MayExist(After(milliseconds(5))));
  unseen.OnReport(MakeReport(milliseconds(0), 2), After(milliseconds(1205)));
  BOOST_TEST(!unseen.MayExist(After(seconds(2))));
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamOwnsNoUnseenFlows) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(seconds(-30), 25), After(milliseconds(100)));
  BOOST_TEST(unseen.MayExist(After(seconds(1))));
  unseen.OnReport(MakeReport(seconds(9), 1), After(seconds(9)));
  BOOST_TEST(!unseen.MayExist(After(seconds(10))));
}

// A report of an earlier process that was delayed is no proof of a restart.
BOOST_AUTO_TEST_CASE(LateReportOfAnEarlierUpstreamProvesNothing) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(seconds(-30), 9), After(milliseconds(10)));
  unseen.OnReport(MakeReport(seconds(-9), 8), After(milliseconds(600)));
  BOOST_TEST(unseen.MayExist(After(seconds(1))));
}

// The clock was behind when this process started.
BOOST_AUTO_TEST_CASE(SequenceShowsThatAnUpstreamIsOlderThanItsClockTells) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(milliseconds(300), 4), After(milliseconds(400)));
  BOOST_TEST(unseen.MayExist(After(seconds(1))));
  // Later reports are no better proof.
  unseen.OnReport(MakeReport(milliseconds(300), 5), After(seconds(60)));
  BOOST_TEST(unseen.MayExist(After(seconds(60))));
}

BOOST_AUTO_TEST_CASE(AnySequenceAndStartAreHandled) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(seconds(1), UINT64_MAX), After(seconds(1)));
  BOOST_TEST(unseen.MayExist(After(seconds(1))));
  auto report = MakeReport(seconds(1), 1);
  report.started_at = milliseconds::min();
  unseen.OnReport(report, After(seconds(2)));
  BOOST_TEST(unseen.MayExist(After(seconds(2))));
}

// Records were discarded because there were too many.
BOOST_AUTO_TEST_CASE(LostRecordOpensAGap) {
  auto unseen = MakeUnseenFlows();
  unseen.OnReport(MakeReport(milliseconds(0), 1), After(milliseconds(5)));
  unseen.OnRecordLost(After(seconds(100)));
  BOOST_TEST(unseen.MayExist(After(seconds(101))));
  unseen.OnReport(MakeReport(milliseconds(0), 90), After(seconds(102)));
  BOOST_TEST(unseen.MayExist(After(seconds(103))));
  BOOST_TEST(!unseen.MayExist(After(seconds(170))));
}

/// A balancer that has known all versions for long, and that 7 is the newest.
RouteHistory MakeRouteHistory() {
  RouteHistory history(After(seconds(-100)));
  history.OnApplied(7, true, After(seconds(-50)));
  history.OnVersionSeen(7);
  history.OnVerified(After(seconds(0)));
  return history;
}

BOOST_AUTO_TEST_CASE(RouteHistoryIsCompleteOnceAllFlowsBeganInIt) {
  RouteHistory history(After(seconds(0)));
  history.OnApplied(7, true, After(seconds(1)));
  history.OnVerified(After(seconds(70)));
  BOOST_TEST(!history.IsComplete(After(seconds(69))));
  BOOST_TEST(history.IsComplete(After(seconds(70))));
}

BOOST_AUTO_TEST_CASE(VersionThatMayNotFollowDirectlyOpensAGap) {
  auto history = MakeRouteHistory();
  BOOST_TEST(history.IsComplete(After(seconds(1))));
  history.OnApplied(8, true, After(seconds(1)));
  BOOST_TEST(history.IsComplete(After(seconds(1))));
  history.OnApplied(12, false, After(seconds(2)));
  for (int second = 2; second <= 72; ++second) {
    history.OnVerified(After(seconds(second)));
    BOOST_TEST(history.IsComplete(After(seconds(second))) == (second == 72));
  }
}

BOOST_AUTO_TEST_CASE(InterruptionOpensAGap) {
  auto history = MakeRouteHistory();
  history.OnInterrupted(After(seconds(1)));
  history.OnVerified(After(seconds(60)));
  BOOST_TEST(!history.IsComplete(After(seconds(60))));
}

BOOST_AUTO_TEST_CASE(BalancerBehindANewerVersionKnowsNoHistory) {
  auto history = MakeRouteHistory();
  history.OnVersionSeen(9);
  BOOST_TEST(!history.IsComplete(After(seconds(1))));
  history.OnApplied(9, true, After(seconds(1)));
  BOOST_TEST(history.IsComplete(After(seconds(1))));
}

BOOST_AUTO_TEST_CASE(ListedMembersAreCompleteOnceUpdatesHaveArrived) {
  MembershipKnowledge members;
  BOOST_TEST(!members.IsComplete(After(seconds(9))));
  members.OnListed(After(seconds(1)));
  BOOST_TEST(!members.IsComplete(After(milliseconds(1199))));
  BOOST_TEST(members.IsComplete(After(milliseconds(1200))));
  members.OnListed(After(seconds(9)));
  BOOST_TEST(members.IsComplete(After(seconds(9))));
}

BOOST_AUTO_TEST_CASE(SuspensionHidesMembersUntilTheyAreRepaired) {
  MembershipKnowledge members;
  members.OnInterrupted(After(seconds(0)));
  BOOST_TEST(!members.is_listed());
  members.OnListed(After(seconds(1)));
  members.OnInterrupted(After(seconds(10)));
  BOOST_TEST(!members.IsComplete(After(milliseconds(11'999))));
  BOOST_TEST(members.IsComplete(After(seconds(12))));
}

BOOST_AUTO_TEST_CASE(MembersAreUnknownWhileOtherBalancersAreSilent) {
  MembershipKnowledge members;
  members.OnListed(After(seconds(0)));
  members.OnMessage(After(seconds(1)));
  BOOST_TEST(members.IsComplete(After(milliseconds(2500))));
  BOOST_TEST(!members.IsComplete(After(milliseconds(2501))));
  members.OnMessage(After(seconds(9)));
  members.OnMessage(After(seconds(10)));
  BOOST_TEST(!members.IsComplete(After(milliseconds(10'999))));
  BOOST_TEST(members.IsComplete(After(seconds(11))));
}

// Cut off from the store and from those that read it.
BOOST_AUTO_TEST_CASE(HistoryWithoutRecentConfirmationIsUnknown) {
  auto history = MakeRouteHistory();
  BOOST_TEST(history.IsComplete(After(RouteHistory::kMaxVerifiedAge)));
  BOOST_TEST(!history.IsComplete(
      After(RouteHistory::kMaxVerifiedAge + milliseconds(1))));
  history.OnVerified(After(seconds(9)));
  BOOST_TEST(history.IsComplete(After(seconds(10))));
}

}  // namespace cowslip::segment
