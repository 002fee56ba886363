#include "cowslip/segment/upstream_gate.h"

namespace cowslip::segment {

std::string_view ToString(UpstreamStatus state) {
  switch (state) {
    case UpstreamStatus::kUnknown:
      return "unknown";
    case UpstreamStatus::kAccepting:
      return "open";
    case UpstreamStatus::kDraining:
      return "draining";
    case UpstreamStatus::kDeregistered:
      return "gone";
    case UpstreamStatus::kUnresponsive:
      return "silent";
  }
  return "unknown";
}

bool UpstreamStateTracker::IsOutdated(const UpstreamReport& report,
                                      TimePoint now) const {
  if (!has_report_) return false;
  const bool same_start =
      report.id == report_.id && report.started_at == report_.started_at;
  if (same_start) return report.sequence <= report_.sequence;
  if (report.started_at >= report_.started_at) return false;
  // The system clock may have been set back between two starts.
  const bool left = state_ == UpstreamStatus::kDeregistered ||
                    state_ == UpstreamStatus::kUnresponsive;
  return !left && now - last_report_time_ < kSupersedeDelay;
}

ReportResult UpstreamStateTracker::OnReport(const UpstreamReport& report,
                                            TimePoint now) {
  if (IsOutdated(report, now)) return ReportResult::kOutdated;
  const bool restarted =
      has_report_ &&
      (report.id != report_.id || report.started_at != report_.started_at);
  const bool left = state_ == UpstreamStatus::kDraining ||
                    state_ == UpstreamStatus::kDeregistered;
  const bool first_report = !has_report_;
  report_ = report;
  has_report_ = true;
  last_report_time_ = now;
  if (restarted) {
    restart_seen_ = true;
    unanswered_syns_ = 0;
  }
  if (report.draining) {
    state_ = UpstreamStatus::kDraining;
  } else if (restarted || first_report || !left) {
    state_ = UpstreamStatus::kAccepting;
    unanswered_syns_ = 0;
  }
  return restarted ? ReportResult::kNewIncarnation : ReportResult::kApplied;
}

void UpstreamStateTracker::OnDeregistered(std::string_view id) {
  if (!report_.id.empty() && id != report_.id) return;
  state_ = UpstreamStatus::kDeregistered;
}

void UpstreamStateTracker::OnUnanswered() {
  ++unanswered_syns_;
  if (state_ == UpstreamStatus::kAccepting &&
      unanswered_syns_ >= kUnansweredLimit) {
    state_ = UpstreamStatus::kUnresponsive;
  }
}

void UpstreamStateTracker::OnAnswered() {
  unanswered_syns_ = 0;
  if (state_ == UpstreamStatus::kUnresponsive)
    state_ = UpstreamStatus::kAccepting;
}

}  // namespace cowslip::segment
