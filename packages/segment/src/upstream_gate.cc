#include "cowslip/segment/upstream_gate.h"

namespace cowslip::segment {

std::string_view ToString(Lifecycle state) {
  switch (state) {
    case Lifecycle::kUnknown:
      return "unknown";
    case Lifecycle::kAccepting:
      return "open";
    case Lifecycle::kDraining:
      return "draining";
    case Lifecycle::kDeregistered:
      return "gone";
    case Lifecycle::kUnresponsive:
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
  const bool left =
      state_ == Lifecycle::kDeregistered || state_ == Lifecycle::kUnresponsive;
  return !left && now - last_report_time_ < kSupersedeDelay;
}

ReportResult UpstreamStateTracker::OnReport(const UpstreamReport& report,
                                            TimePoint now) {
  if (IsOutdated(report, now)) return ReportResult::kOutdated;
  const bool restarted =
      has_report_ &&
      (report.id != report_.id || report.started_at != report_.started_at);
  const bool left =
      state_ == Lifecycle::kDraining || state_ == Lifecycle::kDeregistered;
  const bool first_report = !has_report_;
  report_ = report;
  has_report_ = true;
  last_report_time_ = now;
  if (restarted) {
    unanswered_syns_ = 0;
  }
  if (report.draining) {
    state_ = Lifecycle::kDraining;
  } else if (restarted || first_report || !left) {
    state_ = Lifecycle::kAccepting;
    unanswered_syns_ = 0;
  }
  return restarted ? ReportResult::kNewIncarnation : ReportResult::kApplied;
}

bool UpstreamStateTracker::OnDeregistered(
    std::string_view id, std::optional<std::chrono::milliseconds> started_at) {
  const bool is_present = has_report_ && id == report_.id &&
                          (!started_at || *started_at == report_.started_at);
  if (is_present) state_ = Lifecycle::kDeregistered;
  return is_present;
}

void UpstreamStateTracker::OnUnanswered() {
  ++unanswered_syns_;
  if (state_ == Lifecycle::kAccepting && unanswered_syns_ >= kUnansweredLimit) {
    state_ = Lifecycle::kUnresponsive;
  }
}

void UpstreamStateTracker::OnAnswered() {
  unanswered_syns_ = 0;
  if (state_ == Lifecycle::kUnresponsive) state_ = Lifecycle::kAccepting;
}

}  // namespace cowslip::segment
