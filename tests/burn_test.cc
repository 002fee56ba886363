#define BOOST_TEST_MODULE burn
#include <boost/test/unit_test.hpp>

#include "cowslip/telemetry.h"

namespace cowslip::telemetry {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr TimePoint kStart{hours(100)};

/// @return a tracker with samples of one day, one per minute; in the last
/// `bad_minutes`, one event in ten is bad.
BurnTracker TrackOneDay(int bad_minutes) {
  constexpr int kDay = 24 * 60;
  BurnTracker tracker({"seal posts answered", 0.99});
  EventTotals totals;
  for (int minute = 0; minute <= kDay; ++minute) {
    tracker.AddSample(totals, kStart + minutes(minute));
    const bool bad = minute >= kDay - bad_minutes;
    totals.good += bad ? 90 : 100;
    totals.bad += bad ? 10 : 0;
  }
  return tracker;
}

BOOST_AUTO_TEST_CASE(SpikeRaisesShortWindowOnly) {
  const auto report = TrackOneDay(5).Report(kStart + hours(24));
  BOOST_REQUIRE_EQUAL(report.size(), 4U);
  BOOST_TEST(report[0].rate == 10.0, boost::test_tools::tolerance(0.01));
  BOOST_TEST(report[3].rate < 0.1);
}

BOOST_AUTO_TEST_CASE(BurnRateIsZeroWithoutEvents) {
  BurnTracker tracker({"idle", 0.999});
  tracker.AddSample({}, kStart);
  tracker.AddSample({}, kStart + minutes(10));
  for (const auto& burn : tracker.Report(kStart + minutes(10))) {
    BOOST_TEST(burn.rate == 0.0);
  }
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedByTheLongestWindow) {
  BurnTracker tracker({"long", 0.99});
  for (int minute = 0; minute < 5 * 24 * 60; ++minute) {
    tracker.AddSample({}, kStart + minutes(minute));
  }
  BOOST_TEST(tracker.PerMinuteRates().size() <= 24U * 60 + 2);
}

BOOST_AUTO_TEST_CASE(PageEscapesNames) {
  const std::vector<BurnTracker> trackers{BurnTracker({"<script>", 0.99})};
  const auto page = FormatBurnPage("a<b", trackers, kStart);
  BOOST_TEST(page.find("<script>") == std::string::npos);
  BOOST_TEST(page.find("a&lt;b") != std::string::npos);
}

}  // namespace
}  // namespace cowslip::telemetry
