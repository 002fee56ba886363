#define BOOST_TEST_MODULE flow
#include "cowslip/flow.h"

#include <boost/test/unit_test.hpp>

namespace cowslip::flow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UpstreamId kUpstream{7};
const TimePoint kStart{std::chrono::hours(1)};
constexpr FailureDetectorOptions kLimits{milliseconds(100), milliseconds(50),
                                         8};

FlowKey Key(std::uint32_t number) { return {{number, 1}, {9, 9}}; }

BOOST_AUTO_TEST_CASE(UnresponsiveUpstreamIsSkippedAfterItsProbes) {
  FailureDetector detector(kLimits);
  auto now = kStart;
  detector.OnSent(kUpstream, now);
  while (!detector.IsUnresponsive(kUpstream)) {
    now += milliseconds(10);
    detector.OnSent(kUpstream, now);
    detector.TakeDueProbes(now);
  }
  BOOST_TEST((now - kStart == milliseconds(500)));
  detector.OnResponse(kUpstream);
  BOOST_TEST(!detector.IsUnresponsive(kUpstream));
}

BOOST_AUTO_TEST_CASE(UnresponsiveUpstreamIsDetectedWithoutTraffic) {
  FailureDetector detector(kLimits);
  detector.OnSent(kUpstream, kStart);
  BOOST_TEST(detector.OnSent(kUpstream, kStart + seconds(10)));
  for (int i = 1; i <= 50; ++i) {
    detector.TakeDueProbes(kStart + seconds(10) + i * milliseconds(10));
  }
  BOOST_TEST(detector.IsUnresponsive(kUpstream));
}

// A caller alone retransmits at doubling intervals, spread over the balancers.
// Guards against frames that are lost on each of them until its second one.
BOOST_AUTO_TEST_CASE(SingleUnansweredFrameLeadsToProbes) {
  auto limits = kLimits;
  limits.probe_single_frames = true;
  for (const bool answered : {false, true}) {
    FailureDetector detector(limits);
    detector.OnSent(kUpstream, kStart);
    std::size_t probes = 0;
    for (int i = 1; i <= 100; ++i) {
      if (answered && i == 5) detector.OnResponse(kUpstream);
      probes += detector.TakeDueProbes(kStart + i * milliseconds(10)).size();
    }
    BOOST_TEST(detector.IsUnresponsive(kUpstream) == !answered);
    BOOST_TEST(probes == (answered ? 0U : 9U));
  }
}

BOOST_AUTO_TEST_CASE(PauseOfTheUpstreamOrOfThisProcessIsTolerated) {
  // The upstream pauses for 300 ms and then answers all probes.
  FailureDetector detector(kLimits);
  for (int i = 0; i <= 30; ++i) {
    const auto now = kStart + i * milliseconds(10);
    detector.OnSent(kUpstream, now);
    detector.TakeDueProbes(now);
    BOOST_TEST(!detector.IsUnresponsive(kUpstream));
  }
  detector.OnResponse(kUpstream);
  // This process pauses after it has sent a probe, and the answer is lost.
  const auto later = kStart + seconds(5);
  detector.OnSent(kUpstream, later);
  BOOST_TEST(detector.OnSent(kUpstream, later + milliseconds(100)));
  detector.OnSent(kUpstream, later + seconds(20));
  detector.TakeDueProbes(later + seconds(20));
  BOOST_TEST(!detector.IsUnresponsive(kUpstream));
}

BOOST_AUTO_TEST_CASE(RenewedRedirectsOutliveTheirFirstExpiry) {
  RedirectTable redirects(10, seconds(10));
  redirects.Insert(Key(1), kUpstream, Incarnation(1), kStart);
  redirects.Insert(Key(2), kUpstream, Incarnation(1), kStart);
  redirects.Insert(Key(1), kUpstream, Incarnation(2), kStart + seconds(8));
  redirects.Expire(kStart + seconds(10));
  BOOST_TEST(redirects.Find(Key(1), kStart + seconds(10)).has_value());
  BOOST_TEST(!redirects.Find(Key(2), kStart + seconds(10)).has_value());
  redirects.Expire(kStart + seconds(18));
  BOOST_TEST(redirects.size() == 0U);
}

BOOST_AUTO_TEST_CASE(RedirectsThatAreAddedAgainHaveANewExpiry) {
  RedirectTable redirects(10, seconds(10));
  redirects.Insert(Key(1), kUpstream, Incarnation(1), kStart);
  redirects.Erase(Key(1));
  redirects.Insert(Key(1), kUpstream, Incarnation(1), kStart + seconds(5));
  redirects.Expire(kStart + seconds(12));
  BOOST_TEST(redirects.Find(Key(1), kStart + seconds(12)).has_value());
  redirects.Expire(kStart + seconds(15));
  BOOST_TEST(redirects.size() == 0U);
}

BOOST_AUTO_TEST_CASE(FullRedirectTableEvictsTheOldestAndCounts) {
  constexpr std::uint32_t kCapacity = 100;
  RedirectTable redirects(kCapacity, seconds(10));
  for (std::uint32_t i = 0; i < 3 * kCapacity; ++i) {
    redirects.Insert(Key(i), kUpstream, Incarnation(1),
                     kStart + i * milliseconds(1));
    redirects.Insert(Key(i / 2), kUpstream, Incarnation(1),
                     kStart + i * milliseconds(1));
    BOOST_TEST(redirects.size() <= kCapacity);
  }
  BOOST_TEST(redirects.evicted() > 0U);
}

BOOST_AUTO_TEST_CASE(OnlyOneOfTwoOwnersIsTheArbiter) {
  constexpr UpstreamId kOther{8};
  BOOST_TEST(IsArbiter(kUpstream, kOther) != IsArbiter(kOther, kUpstream));
  BOOST_TEST(ArbiterKeepsFlow(seconds(5), seconds(5)));
  BOOST_TEST(!ArbiterKeepsFlow(seconds(5), seconds(60)));
  BOOST_TEST(ArbiterKeepsFlow(seconds(60), seconds(5)));
}

}  // namespace
}  // namespace cowslip::flow
