#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/segment/upstream_report.h"

namespace cowslip::segment {

enum class UpstreamStatus : std::uint8_t {
  kUnknown,    ///< Nothing was heard of the upstream.
  kAccepting,  ///< It takes new connections.
  kDraining,   ///< It is leaving: it keeps its connections and gets no new one.
  kDeregistered,  ///< It has left.
  kUnresponsive,  ///< It doesn't answer openings.
};

std::string_view ToString(UpstreamStatus state);

enum class ReportResult : std::uint8_t {
  kApplied,
  kNewIncarnation,
  kOutdated,  ///< Of an earlier start, or overtaken by a later report.
};

/// Judges whether the upstream beside this sidecar gets new connections.
///
/// The sidecar alone decides this, so no balancer with an old view can make a
/// leaving upstream take new work.
class UpstreamStateTracker {
 public:
  /// Unanswered openings in a row until the upstream counts as silent.
  static constexpr int kUnansweredLimit = 2;
  /// A report of another start that was born earlier counts only if the present
  /// one has been silent this long: several heartbeats.
  static constexpr std::chrono::seconds kSuccession{3};

  ReportResult OnReport(const UpstreamReport& report, TimePoint now);
  void OnDeregistered(std::string_view id);
  void OnUnanswered();
  void OnAnswered();

  bool open() const { return state_ == UpstreamStatus::kAccepting; }
  UpstreamStatus state() const { return state_; }
  const UpstreamReport& report() const { return report_; }
  /// @return whether more than one start was seen, so that the present one
  ///     holds nothing that this sidecar has not seen.
  bool saw_restart() const { return saw_start_; }

 private:
  bool IsOutdated(const UpstreamReport& report, TimePoint now) const;

  UpstreamStatus state_ = UpstreamStatus::kUnknown;
  UpstreamReport report_;
  bool reported_ = false;
  bool saw_start_ = false;
  TimePoint heard_{};
  int unanswered_ = 0;
};

}  // namespace cowslip::segment
