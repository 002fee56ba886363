#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/segment/upstream_report.h"

namespace cowslip::segment {

enum class GateState : std::uint8_t {
  kUnknown,   ///< Nothing was heard of the upstream.
  kOpen,      ///< It takes new connections.
  kDraining,  ///< It is leaving: it keeps its connections and gets no new one.
  kGone,      ///< It has left.
  kSilent,    ///< It doesn't answer openings.
};

std::string_view ToString(GateState state);

enum class ReportVerdict : std::uint8_t {
  kApplied,
  kNewIncarnation,
  kOutdated,  ///< Of an earlier start, or overtaken by a later report.
};

/// Judges whether the upstream beside this sidecar gets new connections.
///
/// The sidecar alone decides this, so no balancer with an old view can make a
/// leaving upstream take new work.
class UpstreamGate {
 public:
  /// Unanswered openings in a row until the upstream counts as silent.
  static constexpr int kUnansweredLimit = 2;
  /// A report of another start that was born earlier counts only if the present
  /// one has been silent this long: several heartbeats.
  static constexpr std::chrono::seconds kSuccession{3};

  ReportVerdict OnReport(const UpstreamReport& report, TimePoint now);
  void OnDeregistered(std::string_view id);
  void OnUnanswered();
  void OnAnswered();

  bool open() const { return state_ == GateState::kOpen; }
  GateState state() const { return state_; }
  const UpstreamReport& report() const { return report_; }
  /// @return whether more than one start was seen, so that the present one
  ///     holds nothing that this sidecar has not seen.
  bool saw_start() const { return saw_start_; }

 private:
  bool IsOutdated(const UpstreamReport& report, TimePoint now) const;

  GateState state_ = GateState::kUnknown;
  UpstreamReport report_;
  bool reported_ = false;
  bool saw_start_ = false;
  TimePoint heard_{};
  int unanswered_ = 0;
};

}  // namespace cowslip::segment
