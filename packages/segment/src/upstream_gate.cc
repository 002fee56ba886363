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
  if (!reported_) return false;
  const bool same_start =
      report.id == report_.id && report.born == report_.born;
  if (same_start) return report.sequence <= report_.sequence;
  if (report.born >= report_.born) return false;
  // The time of day may have been set back between two starts.
  const bool left = state_ == GateState::kGone || state_ == GateState::kSilent;
  return !left && now - heard_ < kSuccession;
}

ReportVerdict UpstreamGate::OnReport(const UpstreamReport& report,
                                     TimePoint now) {
  if (IsOutdated(report, now)) return ReportVerdict::kOutdated;
  const bool fresh_start =
      reported_ && (report.id != report_.id || report.born != report_.born);
  const bool left =
      state_ == GateState::kDraining || state_ == GateState::kGone;
  const bool first = !reported_;
  report_ = report;
  reported_ = true;
  heard_ = now;
  if (fresh_start) {
    saw_start_ = true;
    unanswered_ = 0;
  }
  if (report.draining) {
    state_ = GateState::kDraining;
  } else if (fresh_start || first || !left) {
    state_ = GateState::kOpen;
    unanswered_ = 0;
  }
  return fresh_start ? ReportVerdict::kNewIncarnation : ReportVerdict::kApplied;
}

void UpstreamGate::OnDeregistered(std::string_view id) {
  if (!report_.id.empty() && id != report_.id) return;
  state_ = GateState::kGone;
}

void UpstreamGate::OnUnanswered() {
  ++unanswered_;
  if (state_ == GateState::kOpen && unanswered_ >= kUnansweredLimit) {
    state_ = GateState::kSilent;
  }
}

void UpstreamGate::OnAnswered() {
  unanswered_ = 0;
  if (state_ == GateState::kSilent) state_ = GateState::kOpen;
}

}  // namespace cowslip::segment
