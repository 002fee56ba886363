#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/outlier/member_id.h"
#include "cowslip/outlier/outlier_change.h"
#include "cowslip/outlier/response_report.h"
#include "cowslip/outlier/trial_schedule.h"

namespace cowslip::outlier {

/// Compares the members of a service by what they report of their responses,
/// and finds those that fail or are slow beside their peers.
///
/// Load pattern: some of the upstreams of a service fail part of their
/// requests, or become several times slower, for some seconds while their
/// health is good. What all of them show, such as failures of bad requests, is
/// no fault of a single one.
class OutlierDetector {
 public:
  /// Failure share from which a member may be an outlier, and its least
  /// relation to the median of its peers.
  static constexpr double kMinFailureShare = 0.1;
  static constexpr double kTimesMedian = 3;
  /// Lower bound of that median.
  static constexpr double kMinMedianShare = 0.02;
  /// Response time over the median of the peers from which a member is an
  /// outlier. Upstreams of 1.7 and 0.7 times the mean have 2.4.
  static constexpr double kMinSpeed = 3;
  /// The same below which it is none any more.
  static constexpr double kEndSpeed = 2.4;
  /// Time for which a member has to be beyond the limits before it becomes an
  /// outlier. A fault of all members shows in some of them first, so the time
  /// is longer once most of its peers have had failures.
  static constexpr std::chrono::milliseconds kConfirmation{200};
  static constexpr std::chrono::milliseconds kLongConfirmation{1000};
  /// Age from which a report is not compared any more.
  static constexpr std::chrono::milliseconds kReportLifetime{1500};
  /// Interval at which an outlier is asked for a report if it sends none, and
  /// the first one after a trial.
  static constexpr std::chrono::milliseconds kReportInterval{1000};
  static constexpr std::chrono::milliseconds kTrialReportInterval{50};
  /// Age of the last report from which a member is no outlier any more.
  static constexpr std::chrono::seconds kStateLifetime{8};
  /// Service addresses of a member that are compared, those reported last.
  static constexpr std::size_t kMaxAddresses = 4;
  /// Part of the members of a service that may be outliers at one time.
  static constexpr std::size_t kMaxPart = 3;

  /// A member reports its responses.
  /// @param address that share and time are of; zero if they are of none.
  void OnReport(MemberId member, const Endpoint& address,
                const ResponseReport& report, TimePoint now);
  /// Discards what is known of a member, as it has restarted.
  void Erase(MemberId member);
  /// Compares the members of a service.
  void Evaluate(std::span<const MemberId> members, TimePoint now);
  /// Ends the state of outliers without recent reports, and discards what is
  /// known of members without any. Call about once per second.
  void ExpireReports(TimePoint now);

  bool IsOutlier(MemberId member) const;
  /// @return whether no member has reported.
  bool empty() const { return members_.empty(); }
  /// @return number of outliers.
  std::size_t outliers() const { return outliers_; }
  /// @return whether the next new connection is to be offered to this outlier
  /// first.
  bool IsTrialDue(MemberId member, TimePoint now) const;
  /// A new connection was offered to this outlier first.
  void OnTrial(MemberId member, TimePoint now);
  /// @return outliers to ask for a report now, at most `count`: at growing
  /// intervals after a trial, otherwise when the last report is older than
  /// kReportInterval.
  std::vector<MemberId> TakeReportRequests(std::size_t count, TimePoint now);
  /// @return what has changed since the last call.
  std::vector<OutlierChange> TakeChanges();

  /// A member as of its last comparison, for metrics.
  struct Comparison {
    MemberId member{};
    std::optional<double> failure_share;
    std::optional<double> speed;
  };
  /// @return at most `count` members, outliers first, then the slowest.
  std::vector<Comparison> Comparisons(std::size_t count) const;

 private:
  /// Reported of one service address.
  struct Row {
    Endpoint address;
    std::optional<double> failure_share;
    std::optional<double> log_seconds;
    TimePoint reported_at{};
  };
  struct Member {
    std::vector<Row> rows;
    ResponseReport last;
    TimePoint reported_at{};
    TimePoint asked_at{};  ///< When it was last asked for a report.
    std::optional<double> failure_share;  ///< As of the last comparison.
    std::optional<double> speed;
    /// When it was first found beyond the limits, in a row.
    std::optional<TimePoint> suspected_since;
    bool is_outlier = false;
    bool by_failures = false;  ///< It is an outlier because of its failures.
    bool by_speed = false;
    TrialSchedule trials;
  };
  /// A member in a comparison of a service.
  struct Assessment {
    MemberId id{};
    Member* member = nullptr;
    /// Failure share over the least share of an outlier, 0 if unknown.
    double failures = 0;
    /// Most members fail as it does.
    bool is_common = false;
    /// Most of its peers have had failures lately.
    bool peers_fail = false;
    double log_speed_sum = 0;
    int speeds = 0;
  };
  /// Reported of one address of an assessed member.
  struct Sample {
    Endpoint address;
    std::size_t assessment = 0;
    const Row* row = nullptr;
  };

  void Assess(std::span<const MemberId> members, TimePoint now);
  void CompareShares(std::span<const Sample> samples);
  void CompareTimes(std::span<const Sample> samples);
  static bool HasEnded(const Assessment& assessed);
  static bool IsFailing(const Assessment& assessed);
  static bool IsSlow(const Assessment& assessed);
  /// @return whether it is an outlier, or has been beyond the limits for long
  /// enough to become one.
  static bool IsConfirmed(const Assessment& assessed, TimePoint now);
  /// @return how far it is beyond the limits.
  static double Severity(const Assessment& assessed);
  void Begin(Assessment& assessed, TimePoint now);
  void End(MemberId id, Member& member, TimePoint now);
  void AppendChange(MemberId id, const Member& member);

  std::unordered_map<MemberId, Member> members_;
  std::size_t outliers_ = 0;
  std::vector<OutlierChange> changes_;
  /// Kept to reuse their memory.
  std::vector<Assessment> assessments_;
  std::vector<Sample> samples_;
  std::vector<double> values_;
  std::vector<Assessment*> worst_;
};

}  // namespace cowslip::outlier
