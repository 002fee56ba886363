#include "cowslip/outlier/trial_schedule.h"

#include <algorithm>

namespace cowslip::outlier {

void TrialSchedule::ScheduleNext(TimePoint now) {
  trials_ = 0;
  next_series_ = now + kFirstInterval * (1 << level_);
}

void TrialSchedule::Begin(const ResponseReport& report, TimePoint now) {
  const bool again =
      has_ended_ && now - ended_at_ < kFirstInterval * (1 << kMaxLevel);
  level_ = again ? std::min(level_ + 1, kMaxLevel) : 0;
  last_ = report;
  ScheduleNext(now);
}

void TrialSchedule::End(TimePoint now) {
  has_ended_ = true;
  ended_at_ = now;
  trials_ = 0;
}

int TrialSchedule::Progress() const {
  if (last_.good_run >= ResponseReport::kMaxGoodRun) return required_run();
  return std::max(last_.good_run - before_.good_run, 0);
}

/// Each answered request of a series allows one more trial, so that an upstream
/// that still fails gets one or two, and one that has recovered is back after a
/// few round trips.
bool TrialSchedule::IsDue(TimePoint now) const {
  if (trials_ == 0) return now >= next_series_;
  return trials_ < std::min(1 + 2 * Progress(), required_run());
}

void TrialSchedule::OnTrial(TimePoint now) {
  if (trials_ == 0) {
    series_start_ = now;
    has_base_ = false;
    before_ = last_;
  }
  ++trials_;
  last_trial_ = now;
}

void TrialSchedule::OnReport(const ResponseReport& report, TimePoint now) {
  last_ = report;
  if (trials_ == 0) return;
  if (!has_base_) {
    // The acknowledgement of the first trial, whose request has not been sent
    // yet. The report before it may be a second old.
    has_base_ = true;
    before_ = report;
    return;
  }
  const bool failed = report.failures != before_.failures;
  // All trials were answered, but too late. The comparison that would have
  // ended the state comes with the next connection.
  const bool without_effect = trials_ >= required_run() &&
                              Progress() >= required_run() &&
                              now - last_trial_ >= kFirstInterval;
  if (!failed && !without_effect && now - series_start_ < kSeriesTimeout) {
    return;
  }
  level_ = std::min(level_ + 1, kMaxLevel);
  ScheduleNext(now);
}

}  // namespace cowslip::outlier
