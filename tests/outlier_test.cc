// Statistics of responses beside an upstream, and comparison of members.
#define BOOST_TEST_MODULE outlier
#include "cowslip/outlier.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace cowslip::outlier::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint kAddress{0xC6120001, 443};
constexpr Endpoint kOther{0xC6120001, 444};
const TimePoint kStart{seconds(1000)};

/// Members with the same address, which report in turn.
class Service {
 public:
  explicit Service(std::size_t members) : reports_(members) {
    for (std::size_t i = 0; i < members; ++i) {
      ids_.push_back(MemberId{static_cast<std::uint32_t>(i)});
      reports_[i].failure_share = 0;
      reports_[i].response_time = milliseconds(40);
    }
  }
  ResponseReport& report(std::size_t member) { return reports_[member]; }
  /// All members report in intervals of 100 ms, and are compared.
  void Run(milliseconds time) {
    for (const auto end = now_ + time; now_ < end; now_ += milliseconds(100)) {
      for (std::size_t i = 0; i < ids_.size(); ++i) {
        detector_.OnReport(ids_[i], kAddress, reports_[i], now_);
      }
      detector_.Evaluate(ids_, now_);
    }
  }
  OutlierDetector& detector() { return detector_; }
  bool IsOutlier(std::size_t i) const { return detector_.IsOutlier(ids_[i]); }
  TimePoint now() const { return now_; }

 private:
  OutlierDetector detector_;
  std::vector<MemberId> ids_;
  std::vector<ResponseReport> reports_;
  TimePoint now_ = kStart;
};

}  // namespace

// Guards against more outliers than a third of the members, one of two, or none
// of one, and against members that are no outliers beside their peers.
BOOST_AUTO_TEST_CASE(NumberOfOutliers) {
  struct Case {
    const char* name;
    std::vector<double> shares;
    std::size_t outliers;
  };
  const Case cases[] = {
      {"one of one", {0.5}, 0},
      {"one of two", {0.5, 0}, 1},
      {"two of two", {0.5, 0.5}, 0},
      {"one of three", {0.5, 0, 0}, 1},
      {"two of five", {0.5, 0.4, 0, 0, 0}, 1},
      {"two of six", {0.5, 0.4, 0, 0, 0, 0}, 2},
      {"three of seven", {0.5, 0.4, 0.3, 0, 0, 0, 0}, 2},
      {"four of seven", {0.5, 0.5, 0.5, 0.5, 0, 0, 0}, 0},
      {"less than a tenth", {0.09, 0, 0, 0}, 0},
      {"less than three times the median", {0.5, 0.2, 0.2, 0.2, 0.2, 0.2}, 0},
      {"three times the median", {0.5, 0.08, 0.08, 0.08, 0.08, 0.08}, 1},
  };
  for (const auto& each : cases) {
    Service service(each.shares.size());
    for (std::size_t i = 0; i < each.shares.size(); ++i) {
      service.report(i).failure_share = each.shares[i];
    }
    service.Run(milliseconds(1500));
    BOOST_TEST(service.detector().outliers() == each.outliers, each.name);
    // The worst ones.
    for (std::size_t i = 0; i < each.outliers; ++i) {
      BOOST_TEST(service.IsOutlier(i), each.name);
    }
  }
}

// Guards against a state that outlasts its evidence: the upstream or sidecar
// has restarted, or no report has arrived for 8 s.
BOOST_AUTO_TEST_CASE(StateEnds) {
  const auto fails = [] {
    Service service(4);
    service.report(0).failure_share = 0.5;
    service.Run(seconds(2));
    BOOST_REQUIRE(service.IsOutlier(0));
    return service;
  };
  auto service = fails();
  service.report(0) = ResponseReport();
  service.report(0).is_empty = true;
  service.Run(milliseconds(100));
  BOOST_TEST(!service.IsOutlier(0));
  service = fails();
  service.detector().Erase(MemberId{0});
  BOOST_TEST(service.detector().outliers() == 0U);
  service = fails();
  service.detector().ExpireReports(service.now() + seconds(7));
  BOOST_TEST(service.IsOutlier(0));
  service.detector().ExpireReports(service.now() + seconds(9));
  BOOST_TEST(service.detector().outliers() == 0U);
  BOOST_TEST(service.detector().TakeChanges().size() == 2U);
}

// Guards against shares and times that are compared between service addresses,
// and against implausible values that move the median of others.
BOOST_AUTO_TEST_CASE(MembersAreComparedAtOneAddress) {
  Service service(6);
  for (std::size_t i = 3; i < 6; ++i) {
    service.report(i).response_time = milliseconds(300);
  }
  service.report(0).response_time = seconds(100'000);
  service.report(0).failure_share = 1e9;
  service.Run(seconds(2));
  BOOST_TEST(service.IsOutlier(0));
  BOOST_TEST(service.detector().outliers() == 1U);
  OutlierDetector detector;
  const std::vector<MemberId> two{MemberId{1}, MemberId{2}};
  for (int i = 0; i < 20; ++i) {
    const auto now = kStart + i * milliseconds(100);
    ResponseReport report;
    report.response_time = milliseconds(40);
    detector.OnReport(two[0], kAddress, report, now);
    report.response_time = milliseconds(400);
    report.failure_share = 0.5;
    detector.OnReport(two[1], kOther, report, now);
    detector.Evaluate(two, now);
  }
  BOOST_TEST(detector.outliers() == 0U);
}

// Guards against trials at a fixed rate, and against a series of trials that
// goes on after a failure.
BOOST_AUTO_TEST_CASE(IntervalsOfTrialsDouble) {
  TrialSchedule schedule;
  auto now = kStart;
  ResponseReport report;
  schedule.Begin(report, now);
  for (const int interval : {1, 2, 4, 8, 8}) {
    BOOST_TEST(!schedule.IsDue(now + seconds(interval) - milliseconds(1)));
    now += seconds(interval);
    BOOST_REQUIRE(schedule.IsDue(now));
    schedule.OnTrial(now);
    BOOST_TEST(!schedule.IsDue(now));
    // Failures before the trial, which had not been reported.
    ++report.failures;
    schedule.OnReport(report, now);
    ++report.good_run;
    schedule.OnReport(report, now);
    BOOST_TEST(schedule.IsDue(now));
    report.good_run = 0;
    ++report.failures;
    schedule.OnReport(report, now);
    BOOST_TEST(!schedule.IsDue(now));
  }
}

// Guards against healthy upstreams that report failures, and against faults
// that are not reported.
BOOST_AUTO_TEST_CASE(SharesOfLoadPatterns) {
  struct Case {
    const char* name;
    double errors;             ///< Share of small responses.
    std::uint64_t usual_from;  ///< Size of others.
    std::uint64_t usual_to;
    bool upload;
    double least;
    double most;
  };
  const Case cases[] = {
      {"healthy", 0, 400, 900, false, 0, 0.02},
      {"errors", 0.45, 400, 900, false, 0.25, 0.5},
      {"only errors", 1, 400, 900, false, 0.6, 1},
      {"tiny responses to uploads", 0.5, 400, 900, true, 0, 0.02},
      {"always tiny", 0, 20, 30, false, 0, 0.02},
  };
  for (const auto& each : cases) {
    ResponseStatistics statistics;
    std::mt19937 random(7);
    std::uniform_int_distribution<std::uint64_t> size(each.usual_from,
                                                      each.usual_to);
    std::uniform_real_distribution<double> uniform;
    auto now = kStart;
    for (int i = 0; i < 400; ++i) {
      now += milliseconds(30);
      const bool is_error = i >= 100 && uniform(random) < each.errors;
      statistics.OnFirstByte(kAddress, milliseconds(40), now);
      statistics.OnAnswered(kAddress, is_error ? 60 : size(random),
                            !each.upload, now);
    }
    const auto report = statistics.Report(kAddress, now);
    BOOST_REQUIRE(report.failure_share.has_value());
    BOOST_TEST(*report.failure_share >= each.least, each.name);
    BOOST_TEST(*report.failure_share <= each.most, each.name);
    BOOST_TEST((*report.response_time < milliseconds(41)), each.name);
    BOOST_TEST(!statistics.Report(kOther, now).failure_share);
  }
}

}  // namespace cowslip::outlier::test
