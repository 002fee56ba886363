#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/segment/upstream_report.h"

namespace cowslip::segment {

/// State of an upstream as its sidecar sees it.
enum class Lifecycle : std::uint8_t {
  kUnknown,    ///< No report has arrived yet.
  kAccepting,  ///< Accepts new connections.
  kDraining,   ///< Shutting down: keeps its connections and gets no new ones.
  kDeregistered,  ///< Deregistered.
  kUnresponsive,  ///< Unresponsive: doesn't answer SYNs.
};

/// @return the name of a state, as it appears in logs.
std::string_view ToString(Lifecycle state);

/// What UpstreamStateTracker::OnReport() did with a report.
enum class ReportResult : std::uint8_t {
  kApplied,         ///< From the known process of the upstream.
  kNewIncarnation,  ///< From a new process: the upstream has restarted.
  kOutdated,        ///< From an earlier process, or older than the last report.
};

/// Tracks the state of a sidecar's upstream and decides whether it gets new
/// connections.
///
/// The sidecar alone decides this, so a balancer with an outdated member list
/// can't place new connections on an upstream that is draining.
class UpstreamStateTracker {
 public:
  /// Consecutive unanswered SYNs after which the upstream counts as
  /// unresponsive.
  static constexpr int kUnansweredLimit = 2;
  /// A report of another process with an earlier start time is accepted only if
  /// the current process has sent none for this long (several heartbeats).
  static constexpr std::chrono::seconds kSupersedeDelay{3};

  ReportResult OnReport(const UpstreamReport& report, TimePoint now);
  /// An upstream process has deregistered.
  /// @param started_at its start, std::nullopt if it is not known.
  /// @return whether it is the present process; a message of an earlier one may
  ///     be late.
  bool OnDeregistered(std::string_view id,
                      std::optional<std::chrono::milliseconds> started_at);
  /// A SYN was not answered in time.
  void OnUnanswered();
  /// A packet of the upstream arrived.
  void OnAnswered();

  bool open() const { return state_ == Lifecycle::kAccepting; }
  Lifecycle state() const { return state_; }
  const UpstreamReport& report() const { return report_; }

 private:
  bool IsOutdated(const UpstreamReport& report, TimePoint now) const;

  Lifecycle state_ = Lifecycle::kUnknown;
  UpstreamReport report_;
  bool has_report_ = false;
  TimePoint last_report_time_{};
  int unanswered_syns_ = 0;
};

}  // namespace cowslip::segment
