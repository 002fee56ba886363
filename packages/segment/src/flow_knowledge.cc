#include "cowslip/segment/flow_knowledge.h"

#include <algorithm>

namespace cowslip::segment {
namespace {

/// Part of the report interval, in percent, that passes at least between two
/// reports.
constexpr int kMinReportGapPercent = 65;

/// The platform waits for longer than this before it starts a process again, so
/// an upstream that started within it was not served by an earlier process.
/// Both start at nearly the same time when their machine does.
constexpr std::chrono::milliseconds kMinRestartDelay{100};

/// Reports that an upstream may have sent before this process accepted
/// connections, at most, while the upstream was not older than kMaxRefusalAge.
constexpr std::uint64_t kMaxRefusedReports = 2;
constexpr std::chrono::milliseconds kMaxRefusalAge{100};

}  // namespace

bool ProvesOwnership(const Segment& from_upstream) {
  return !from_upstream.syn && !from_upstream.rst;
}

bool AcceptsHandshake(const Segment& from_caller, std::uint32_t upstream_seq) {
  // Callers acknowledge the SYN-ACK's number or the one after it. The upstream
  // sends data, which would be acknowledged too, only once the flow is open.
  return from_caller.ack - upstream_seq <= 1;
}

bool UnseenFlows::IsYounger(const UpstreamReport& report) const {
  return report.started_at >= start_.time_of_day - kMinRestartDelay;
}

Duration UnseenFlows::MinReportGap() const {
  return report_interval_ * kMinReportGapPercent / 100;
}

bool UnseenFlows::AgeIsBelow(Duration limit, const UpstreamReport& report,
                             TimePoint now) const {
  const Duration time_of_day = start_.time_of_day + (now - start_.steady);
  return report.started_at <= time_of_day &&
         report.started_at > time_of_day - limit;
}

bool UnseenFlows::SequenceIsPlausible(const UpstreamReport& report,
                                      TimePoint now) const {
  const auto possible_reports =
      1 + refused_reports_ +
      static_cast<std::uint64_t>((now - start_.steady) / MinReportGap());
  return report.sequence <= possible_reports;
}

void UnseenFlows::OnReport(const UpstreamReport& report, TimePoint now) {
  const bool same_process =
      has_report_ && report.started_at == upstream_started_at_;
  if (!same_process) {
    upstream_is_younger_ = IsYounger(report);
    first_report_was_early_ = AgeIsBelow(MinReportGap(), report, now);
    refused_reports_ =
        AgeIsBelow(kMaxRefusalAge, report, now) ? kMaxRefusedReports : 0;
  } else if (first_report_was_early_) {
    upstream_is_younger_ = true;
  }
  const bool plausible = SequenceIsPlausible(report, now);
  upstream_is_younger_ &= plausible;
  first_report_was_early_ &= plausible;
  upstream_started_at_ = report.started_at;
  has_report_ = true;
}

void UnseenFlows::OnRecordLost(TimePoint now) {
  window_.OpenGap(now);
  upstream_is_younger_ = false;
  first_report_was_early_ = false;
}

bool UnseenFlows::MayExist(TimePoint now) const {
  return !upstream_is_younger_ && !window_.CoversAllFlows(now);
}

void RouteHistory::OnApplied(std::uint64_t version, bool follows_previous,
                             TimePoint now) {
  if (!follows_previous) window_.OpenGap(now);
  version_ = version;
}

void RouteHistory::OnVersionSeen(std::uint64_t version) {
  newest_seen_ = std::max(newest_seen_, version);
}

void RouteHistory::OnVerified(TimePoint read_at) {
  if (!verified_at_ || read_at > *verified_at_) verified_at_ = read_at;
}

bool RouteHistory::IsComplete(TimePoint now) const {
  const bool is_current = verified_at_ &&
                          now - *verified_at_ <= kMaxVerifiedAge &&
                          newest_seen_ <= version_;
  return is_current && window_.CoversAllFlows(now);
}

void MembershipKnowledge::OnListed(TimePoint now) {
  if (!complete_from_) complete_from_ = now + kUpdateTime;
}

void MembershipKnowledge::OnInterrupted(TimePoint now) {
  if (complete_from_) {
    complete_from_ = std::max(*complete_from_, now + kRepairTime);
  }
}

void MembershipKnowledge::OnMessage(TimePoint now) {
  if (last_message_ && now - *last_message_ > kMaxSilence) OnInterrupted(now);
  last_message_ = now;
}

bool MembershipKnowledge::IsComplete(TimePoint now) const {
  const bool is_silent = last_message_ && now - *last_message_ > kMaxSilence;
  return complete_from_ && now >= *complete_from_ && !is_silent;
}

}  // namespace cowslip::segment
