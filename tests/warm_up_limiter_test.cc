// Rules of the limit of an upstream that warms up: the edges of the sliding
// second, restarts, suspensions and changes of the limit.
#define BOOST_TEST_MODULE warm_up_limiter
#include <boost/test/unit_test.hpp>
#include <random>

#include "cowslip/scheduling.h"

namespace cowslip::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(100)};
constexpr milliseconds kStartOfDay{1'000'000};
constexpr std::uint32_t kLimit = 5;

/// A process that started at kStart beside an upstream that started `younger`
/// later and is cold for a minute.
struct Fixture {
  explicit Fixture(milliseconds younger = seconds(1)) {
    limiter.OnProcessStarted(kStart, kStartOfDay);
    limiter.OnLimit(1, RequestRate::FromPerSecond(kLimit));
    Report(kStartOfDay + younger, false, kStart + milliseconds(10));
  }
  void Report(milliseconds started_at, bool restarted, TimePoint now,
              milliseconds left = seconds(60)) {
    limiter.OnReport({started_at, left, restarted}, now);
  }
  /// Gives as many requests as are permitted. @return their number.
  std::uint32_t GiveAll(TimePoint now) {
    std::uint32_t given = 0;
    for (; limiter.Permits(now) && given < 1000; ++given) limiter.OnGiven(now);
    return given;
  }

  WarmUpLimiter limiter;
};

}  // namespace

// Guards against a window that is shorter than a second at one of its ends.
BOOST_AUTO_TEST_CASE(WindowIncludesBothEnds) {
  Fixture fixture;
  const auto first = kStart + seconds(2);
  BOOST_TEST(fixture.GiveAll(first) == kLimit);
  BOOST_TEST(fixture.GiveAll(first + seconds(1)) == 0U);
  BOOST_TEST((fixture.limiter.Wait(first + seconds(1)) == nanoseconds(1)));
  BOOST_TEST(fixture.GiveAll(first + seconds(1) + nanoseconds(1)) == kLimit);
}

// Guards against limits that hold on average, or in seconds of a clock, but not
// in each sliding second; and against forecasts that differ from what happens.
BOOST_AUTO_TEST_CASE(NoSlidingSecondExceedsTheLimit) {
  Fixture fixture;
  std::mt19937_64 random(3);
  std::vector<TimePoint> given;
  auto now = kStart + seconds(2);
  while (given.size() < 40) {
    now += std::chrono::microseconds(random() % 200'000);
    const auto forecast = now + fixture.limiter.Wait(now, kLimit + 2);
    auto copy = fixture.limiter;
    auto at = now;
    for (std::uint32_t ahead = 0; ahead < kLimit + 2; ++ahead) {
      at += copy.Wait(at);
      copy.OnGiven(at);
    }
    BOOST_TEST((at + copy.Wait(at) == forecast));
    if (!fixture.limiter.Permits(now)) continue;
    fixture.limiter.OnGiven(now);
    given.push_back(now);
  }
  for (std::size_t i = kLimit; i < given.size(); ++i) {
    BOOST_TEST((given[i] - given[i - kLimit] > seconds(1)));
  }
}

// A fraction is rounded down, as one request more would exceed the limit.
BOOST_AUTO_TEST_CASE(LimitOfAFraction) {
  const std::pair<double, std::uint32_t> cases[] = {
      {0.0001, 1}, {0.5, 1}, {1, 1}, {2.999, 2}, {20, 20}, {1e12, 4'294'967}};
  for (const auto& [per_second, whole] : cases) {
    const auto rate = RequestRate::FromPerSecond(per_second);
    BOOST_TEST(rate.is_limit());
    BOOST_TEST(rate.WholePerSecond() == whole);
  }
  BOOST_TEST(!RequestRate::FromPerSecond(0).is_limit());
  BOOST_TEST(!RequestRate::FromPerSecond(std::nan("")).is_limit());
}

// Guards against a restarted sidecar that gives a cold upstream what its
// predecessor has given it already.
BOOST_AUTO_TEST_CASE(RestartOfTheSidecar) {
  const std::pair<milliseconds, bool> cases[] = {
      {-seconds(1), true},
      {-milliseconds(101), true},
      // Both start with their machine.
      {-milliseconds(100), false},
      {milliseconds(5), false}};
  for (const auto& [younger, blocked] : cases) {
    Fixture fixture(younger);
    const auto now = kStart + milliseconds(20);
    BOOST_TEST(fixture.GiveAll(now) == (blocked ? 0 : kLimit));
    if (!blocked) continue;
    BOOST_TEST((fixture.limiter.Wait(now) ==
                seconds(1) - milliseconds(20) + nanoseconds(1)));
    BOOST_TEST(fixture.GiveAll(kStart + milliseconds(1001)) == kLimit);
  }
}

BOOST_AUTO_TEST_CASE(UpstreamWithoutAReportCountsAsCold) {
  WarmUpLimiter limiter;
  limiter.OnProcessStarted(kStart, kStartOfDay);
  BOOST_TEST(limiter.Permits(kStart));
  limiter.OnLimit(1, RequestRate::FromPerSecond(kLimit));
  BOOST_TEST(!limiter.Permits(kStart + seconds(1)));
  BOOST_TEST(limiter.Permits(kStart + milliseconds(1001)));
  limiter.OnReport({}, kStart + milliseconds(500));
  BOOST_TEST(limiter.Permits(kStart + milliseconds(500)));
}

// Guards against a new process of the upstream that is not given its requests
// because of those of the former one, or given twice those until its report.
BOOST_AUTO_TEST_CASE(RestartOfTheUpstream) {
  Fixture fixture;
  const auto now = kStart + seconds(3);
  BOOST_TEST(fixture.GiveAll(now) == kLimit);
  // The new process starts 10 ms later and is given one request before its
  // report.
  fixture.limiter.OnGiven(now + milliseconds(50));
  fixture.Report(kStartOfDay + seconds(3) + milliseconds(10), true,
                 now + milliseconds(100));
  BOOST_TEST(fixture.GiveAll(now + milliseconds(100)) == kLimit - 1);
  // A clock that was set forward, and an unknown start.
  auto later = now + milliseconds(200);
  for (const auto started_at : {kStartOfDay + seconds(60), milliseconds(0)}) {
    fixture.Report(started_at, true, later);
    BOOST_TEST(fixture.GiveAll(later) == kLimit);
    later += milliseconds(1);
  }
}

// Guards against a warm upstream that restarts and is given all requests until
// its first report, where its packets have shown the restart.
BOOST_AUTO_TEST_CASE(RestartBeforeTheReport) {
  Fixture fixture;
  auto now = kStart + seconds(3);
  fixture.Report(kStartOfDay + seconds(1), false, now, milliseconds(0));
  BOOST_TEST(!fixture.limiter.IsCold(now));
  now += seconds(1);
  fixture.limiter.OnMayHaveRestarted();
  BOOST_TEST(fixture.GiveAll(now) == kLimit);
  fixture.Report(kStartOfDay + seconds(4) - milliseconds(50), true,
                 now + milliseconds(10));
  BOOST_TEST(fixture.GiveAll(now + milliseconds(10)) == 0U);
}

// The steady clock stands still while the machine is suspended.
BOOST_AUTO_TEST_CASE(SuspensionCounts) {
  Fixture fixture;
  const auto now = kStart + seconds(3);
  BOOST_TEST(fixture.GiveAll(now) == kLimit);
  fixture.limiter.SetSuspendedTime(milliseconds(600));
  BOOST_TEST(fixture.GiveAll(now + milliseconds(400)) == 0U);
  BOOST_TEST(fixture.GiveAll(now + milliseconds(401)) == kLimit);
  fixture.limiter.SetSuspendedTime(seconds(60));
  BOOST_TEST(!fixture.limiter.IsCold(now + milliseconds(402)));
}

BOOST_AUTO_TEST_CASE(ChangedLimitAppliesAtOnce) {
  Fixture fixture;
  auto now = kStart + seconds(3);
  BOOST_TEST(fixture.GiveAll(now) == kLimit);
  now += milliseconds(10);
  fixture.limiter.OnLimit(3, RequestRate::FromPerSecond(kLimit + 2));
  BOOST_TEST(fixture.GiveAll(now) == 2U);
  // Guards against a balancer with an older configuration.
  fixture.limiter.OnLimit(2, RequestRate());
  BOOST_TEST(fixture.GiveAll(now) == 0U);
  // The last of the seven requests counts against the lower limit.
  fixture.limiter.OnLimit(4, RequestRate::FromPerSecond(1));
  BOOST_TEST((fixture.limiter.Wait(now) == seconds(1) + nanoseconds(1)));
  fixture.limiter.OnStoreReturned();
  fixture.limiter.OnLimit(3, RequestRate());
  BOOST_TEST(fixture.GiveAll(now) > kLimit);
}

BOOST_AUTO_TEST_CASE(LimitEndsWithTheWarmUp) {
  Fixture fixture;
  const auto now = kStart + seconds(3);
  fixture.Report(kStartOfDay + seconds(1), false, now, milliseconds(300));
  BOOST_TEST(fixture.GiveAll(now) == kLimit);
  BOOST_TEST((fixture.limiter.Wait(now, 100) == milliseconds(300)));
  BOOST_TEST((fixture.limiter.WarmUpLeft(now) == milliseconds(300)));
  BOOST_TEST(fixture.GiveAll(now + milliseconds(299)) == 0U);
  BOOST_TEST(fixture.GiveAll(now + milliseconds(300)) > kLimit);
}

}  // namespace cowslip::scheduling
