#include "cowslip/segment/upstream_gate.h"

namespace cowslip::segment {

std::string_view ToString(GateState state) {
  switch (state) {
    case GateState::kUnknown:
      return "unknown";
    case GateState::kOpen:
      return "open";
    case GateState::kDraining:
      return "draining";
    case GateState::kGone:
      return "gone";
    case GateState::kSilent:
      return "silent";
  }
  return "unknown";
}

bool UpstreamGate::IsOutdated(const UpstreamReport& report,
                              TimePoint now) const {
  if (!has_report_) return false;
  const bool same_start =
      report.id == report_.id && report.born == report_.born;
  if (same_start) return report.sequence <= report_.sequence;
  if (report.born >= report_.born) return false;
  // The system clock may have been set back between two starts.
  const bool left = state_ == GateState::kGone || state_ == GateState::kSilent;
  return !left && now - last_report_time_ < kSupersedeDelay;
}

ReportVerdict UpstreamGate::OnReport(const UpstreamReport& report,
                                     TimePoint now) {
  if (IsOutdated(report, now)) return ReportVerdict::kOutdated;
  const bool restarted =
      has_report_ && (report.id != report_.id || report.born != report_.born);
  const bool left =
      state_ == GateState::kDraining || state_ == GateState::kGone;
  const bool first_report = !has_report_;
  report_ = report;
  has_report_ = true;
  last_report_time_ = now;
  if (restarted) {
    restart_seen_ = true;
    unanswered_syns_ = 0;
  }
  if (report.draining) {
    state_ = GateState::kDraining;
  } else if (restarted || first_report || !left) {
    state_ = GateState::kOpen;
    unanswered_syns_ = 0;
  }
  return restarted ? ReportVerdict::kNewIncarnation : ReportVerdict::kApplied;
}

void UpstreamGate::OnDeregistered(std::string_view id) {
  if (!report_.id.empty() && id != report_.id) return;
  state_ = GateState::kGone;
}

void UpstreamGate::OnUnanswered() {
  ++unanswered_syns_;
  if (state_ == GateState::kOpen && unanswered_syns_ >= kUnansweredLimit) {
    state_ = GateState::kSilent;
  }
}

void UpstreamGate::OnAnswered() {
  unanswered_syns_ = 0;
  if (state_ == GateState::kSilent) state_ = GateState::kOpen;
}

}  // namespace cowslip::segment
