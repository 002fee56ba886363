#pragma once

#include <chrono>
#include <cstdint>

#include "cowslip/base.h"
#include "cowslip/outlier/response_report.h"

namespace cowslip::outlier {

/// When an outlier gets trial connections, at intervals that double with each
/// series of trials that shows a failure.
///
/// Load pattern: an upstream that recovers, which only requests can show, and
/// one that fails again each time that it is used. Half of the trials of an
/// upstream that fails half of its requests are answered, so it takes a run of
/// answered requests to end the state, and a longer one each time that it
/// begins again.
class TrialSchedule {
 public:
  static constexpr std::chrono::seconds kFirstInterval{1};
  static constexpr int kMaxLevel = 3;  ///< 8 s.
  /// Answered requests in a row that end the state at the first interval.
  static constexpr int kGoodRun = 6;
  /// Time after which a series of trials without an outcome counts as failed.
  static constexpr std::chrono::seconds kSeriesTimeout{8};

  /// The outlier state begins. If it has ended less than the longest interval
  /// ago, the next interval is longer than the last one.
  void Begin(const ResponseReport& report, TimePoint now);
  void End(TimePoint now);
  /// @return whether the next new connection is to be a trial.
  bool IsDue(TimePoint now) const;
  /// @return whether a series of trials waits for its outcome.
  bool IsRunning() const { return trials_ > 0; }
  void OnTrial(TimePoint now);
  TimePoint last_trial() const { return last_trial_; }
  void OnReport(const ResponseReport& report, TimePoint now);
  /// @return answered requests in a row that end the state.
  int required_run() const { return kGoodRun * (level_ + 1); }

 private:
  /// @return requests of the series that were answered, as far as reported.
  int Progress() const;
  void ScheduleNext(TimePoint now);

  int level_ = 0;
  TimePoint next_series_{};
  TimePoint series_start_{};
  TimePoint last_trial_{};
  int trials_ = 0;       ///< Sent in the present series.
  ResponseReport last_;  ///< The last report.
  /// The first report of the series, on which its outcome is based.
  ResponseReport before_;
  bool has_base_ = false;
  bool has_ended_ = false;
  TimePoint ended_at_{};
};

}  // namespace cowslip::outlier
