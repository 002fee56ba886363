// Estimates of the work that is left at an upstream.
#define BOOST_TEST_MODULE load_estimator
#include <boost/test/unit_test.hpp>

#include "cowslip/segment.h"

namespace cowslip::segment {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kService{0xC6120001, 443};
const TimePoint kStart{seconds(100)};

/// An estimator that has seen 97 requests of 34 ms and 3 of 238 ms.
LoadEstimator MakeTrained(std::uint32_t slots) {
  LoadEstimator load;
  load.SetSlots(slots);
  for (int i = 0; i < 100; ++i) {
    const auto request = load.OnStarted(kStart, kService);
    load.OnResponse(request,
                    kStart + milliseconds(i % 33 == 0 && i < 99 ? 238 : 34));
  }
  return load;
}

}  // namespace

// Guards against an upstream that is busy with an unusually long request
// counting like one whose request has just started.
BOOST_AUTO_TEST_CASE(LongRequestKeepsUpstreamBusy) {
  auto load = MakeTrained(1);
  const auto now = kStart + seconds(1);
  load.OnStarted(now, kService);
  const auto fresh = load.AnswerTime(now, kService);
  const auto nearly_done = load.AnswerTime(now + milliseconds(30), kService);
  const auto long_one = load.AnswerTime(now + milliseconds(60), kService);
  BOOST_TEST((nearly_done < fresh));
  BOOST_TEST((long_one > 2 * fresh));
  BOOST_TEST((load.ExpectedWait(now + milliseconds(60), kService) > 2 * fresh));
}

// Guards against an upstream that is avoided until the flow ends, because of a
// request that it has dropped.
BOOST_AUTO_TEST_CASE(RequestThatIsNeverAnsweredLosesItsWeight) {
  auto load = MakeTrained(2);
  const auto now = kStart + seconds(1);
  const auto idle = load.ExpectedWait(now, kService);
  load.OnStarted(now, kService);
  BOOST_TEST((load.ExpectedWait(now + seconds(9), kService) > seconds(4)));
  BOOST_TEST((load.ExpectedWait(now + seconds(11), kService) < 2 * idle));
}

// Guards against an upstream that is taken for slow because its sidecar was
// suspended while a request was in progress.
BOOST_AUTO_TEST_CASE(TimesThroughASuspensionAreNoSamples) {
  auto load = MakeTrained(1);
  const auto now = kStart + seconds(1);
  const auto before = load.MeanServiceTime();
  const auto request = load.OnStarted(now, kService);
  load.OnResume(now + seconds(3));
  load.OnResponse(request, now + seconds(3));
  BOOST_TEST((load.MeanServiceTime() == before));
  BOOST_TEST(load.in_progress() == 0U);
}

// Guards against a long request in one slot hiding that the other one is soon
// free.
BOOST_AUTO_TEST_CASE(AnswerTimeFollowsTheFirstFreeSlot) {
  auto load = MakeTrained(2);
  const auto now = kStart + seconds(1);
  load.OnStarted(now, kService);
  load.OnStarted(now + milliseconds(70), kService);
  const auto later = now + milliseconds(100);
  BOOST_TEST((load.AnswerTime(later, kService) < milliseconds(70)));
  BOOST_TEST((load.OutstandingWork(later) > milliseconds(130)));
}

// Guards against requests of the upstream's former process that free slots of
// the next one, or count as its responses.
BOOST_AUTO_TEST_CASE(RequestsOfTheFormerProcessAreIgnored) {
  LoadEstimator load;
  load.SetSlots(1);
  const auto former = load.OnStarted(kStart, kService);
  load.Reset(kStart + milliseconds(10));
  load.OnStarted(kStart + milliseconds(20), kService);
  load.OnResponse(former, kStart + seconds(9));
  load.OnRequestAborted(former, kStart + seconds(9));
  BOOST_TEST(load.in_progress() == 1U);
  BOOST_TEST(load.model().services().empty());
}

// Guards against an estimate that is off for good: the ratio is exported.
BOOST_AUTO_TEST_CASE(ErrorRatioComparesEstimatesWithMeasuredTimes) {
  LoadEstimator load;
  BOOST_TEST(load.ErrorRatio() == 1);
  auto now = kStart;
  for (int i = 0; i < 400; ++i) {
    const auto request = load.OnStarted(now, kService);
    now += milliseconds(40);
    load.OnResponse(request, now);
  }
  BOOST_TEST(load.ErrorRatio() == 1, boost::test_tools::tolerance(0.02));
}

// Guards against a long-lived flow going to the first upstream with a free slot
// although another one has more left over.
BOOST_AUTO_TEST_CASE(LongFlowsAreComparedByWhatIsLeftOver) {
  LoadEstimator load;
  load.SetSlots(2);
  SegmentFrame frame;
  frame.hop_count = 12;
  const auto compare = [&](TimePoint now) {
    AdmissionState state{.has_free_slot = true, .can_queue = true};
    state.answer_time = load.AnswerTime(now, kService);
    return CompareLongFlow(load, kService, now, Admission::kAccept, state,
                           frame);
  };
  // Nothing is known of the address.
  BOOST_TEST((compare(kStart) == Admission::kAccept));
  auto now = kStart;
  for (std::uint32_t i = 1; i <= 20; ++i) {
    const auto request = load.OnStarted(now, kService, i);
    now += milliseconds(50);
    load.OnResponse(request, now);
  }
  // One flow occupies one slot all the time, a second one would take the other.
  const auto wait = load.WaitOfLongFlow(now, kService);
  BOOST_REQUIRE(wait.has_value());
  BOOST_TEST((*wait > milliseconds(500)));
  BOOST_TEST((compare(now) == Admission::kCandidate));
  BOOST_TEST(frame.hop_count == 12);
  // The fourth one ends the comparison.
  frame.place = 3;
  BOOST_TEST((compare(now) == Admission::kCandidate));
  BOOST_TEST(frame.hop_count == 4);
  frame.forced = true;
  BOOST_TEST((compare(now) == Admission::kAccept));
}

}  // namespace cowslip::segment
