#define BOOST_TEST_MODULE flow
#include "cowslip/flow.h"

#include <boost/test/unit_test.hpp>

namespace cowslip::flow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UpstreamId kUpstream{7};
const TimePoint kStart{std::chrono::hours(1)};
constexpr SilenceLimits kLimits{milliseconds(100), milliseconds(50), 8};

FlowKey Key(std::uint32_t number) { return {{number, 1}, {9, 9}}; }

BOOST_AUTO_TEST_CASE(SilentUpstreamIsSkippedAfterItsProbes) {
  ContactTable contacts(kLimits);
  auto now = kStart;
  contacts.OnSent(kUpstream, now);
  while (!contacts.IsSilent(kUpstream)) {
    now += milliseconds(10);
    contacts.OnSent(kUpstream, now);
    contacts.TakeDue(now);
  }
  BOOST_TEST((now - kStart == milliseconds(500)));
  contacts.OnHeard(kUpstream);
  BOOST_TEST(!contacts.IsSilent(kUpstream));
}

BOOST_AUTO_TEST_CASE(SuspicionNeedsNoTraffic) {
  ContactTable contacts(kLimits);
  contacts.OnSent(kUpstream, kStart);
  BOOST_TEST(contacts.OnSent(kUpstream, kStart + seconds(10)));
  for (int i = 1; i <= 50; ++i) {
    contacts.TakeDue(kStart + seconds(10) + i * milliseconds(10));
  }
  BOOST_TEST(contacts.IsSilent(kUpstream));
}

BOOST_AUTO_TEST_CASE(PauseOfThePeerOrOfThisProcessIsNoSilence) {
  // The peer pauses for 300 ms and then answers everything.
  ContactTable contacts(kLimits);
  for (int i = 0; i <= 30; ++i) {
    const auto now = kStart + i * milliseconds(10);
    contacts.OnSent(kUpstream, now);
    contacts.TakeDue(now);
    BOOST_TEST(!contacts.IsSilent(kUpstream));
  }
  contacts.OnHeard(kUpstream);
  // This process pauses with a probe under way; its answer is lost.
  const auto later = kStart + seconds(5);
  contacts.OnSent(kUpstream, later);
  BOOST_TEST(contacts.OnSent(kUpstream, later + milliseconds(100)));
  contacts.OnSent(kUpstream, later + seconds(20));
  contacts.TakeDue(later + seconds(20));
  BOOST_TEST(!contacts.IsSilent(kUpstream));
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

BOOST_AUTO_TEST_CASE(RedirectsOfForgottenKeysKeepTheirOwnExpiry) {
  RedirectTable redirects(10, seconds(10));
  redirects.Insert(Key(1), kUpstream, Incarnation(1), kStart);
  redirects.Erase(Key(1));
  redirects.Insert(Key(1), kUpstream, Incarnation(1), kStart + seconds(5));
  redirects.Expire(kStart + seconds(12));
  BOOST_TEST(redirects.Find(Key(1), kStart + seconds(12)).has_value());
  redirects.Expire(kStart + seconds(15));
  BOOST_TEST(redirects.size() == 0U);
}

BOOST_AUTO_TEST_CASE(FullRedirectTableDropsTheOldestAndCounts) {
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

BOOST_AUTO_TEST_CASE(OnlyOneOfTwoOwnersJudges) {
  constexpr UpstreamId kOther{8};
  BOOST_TEST(IsJudge(kUpstream, kOther) != IsJudge(kOther, kUpstream));
  BOOST_TEST(JudgeKeeps(seconds(5), seconds(5)));
  BOOST_TEST(!JudgeKeeps(seconds(5), seconds(60)));
  BOOST_TEST(JudgeKeeps(seconds(60), seconds(5)));
}

}  // namespace
}  // namespace cowslip::flow
