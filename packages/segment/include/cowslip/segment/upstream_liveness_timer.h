#pragma once

#include <algorithm>
#include <chrono>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Detects that nothing comes from the upstream, from the time without any sign
/// of it while this process ran.
///
/// Handles an upstream that crashes for good, or does not return after a power
/// loss, while its sidecar runs: its flows are lost, and the sidecar must not
/// delay the lookup of flows of other upstreams. UpstreamPresence tells such an
/// upstream from a suspended one.
class UpstreamLivenessTimer {
 public:
  /// Interval of upstream reports unless configured otherwise.
  static constexpr std::chrono::milliseconds kDefaultReportInterval{1000};
  /// Consecutive reports that only a dead upstream misses, as they arrive over
  /// a connection on the same machine.
  static constexpr int kMissedReports = 2;
  /// Delay of a report at a sidecar that has used up its CPU quota.
  static constexpr std::chrono::milliseconds kReportSlack{200};
  /// Longest time counted between two ticks. A longer gap means that this
  /// process was suspended and could not receive anything.
  static constexpr std::chrono::milliseconds kMaxTickInterval{100};

  /// Packets that a process without reports has returned, with nothing else
  /// from it, after which the first report is not waited for as long.
  static constexpr int kReturnedPackets = 3;
  /// Latest arrival of the first report after the start of this process, in
  /// percent of the interval. Reports are sent at varying intervals.
  static constexpr int kFirstReportPercent = 150;

  void SetReportInterval(std::chrono::milliseconds interval) {
    interval_ = interval;
  }
  /// A report of the upstream arrived.
  void OnReport() {
    has_report_ = true;
    OnActivity();
  }
  /// The upstream has returned a packet. A process that sends no reports is no
  /// upstream that owns flows, although it returns packets. After a power loss,
  /// its machine may be taken away before two reports are overdue, and as a
  /// listed member that is silent, it keeps all lookups from ending.
  void OnReturned() {
    if (has_report_) {
      OnActivity();
    } else {
      ++returned_;
    }
  }
  /// A packet of the upstream arrived.
  void OnActivity() {
    idle_time_ = Duration{};
    has_activity_ = true;
  }
  /// @return the time since the last call in which this process ran.
  Duration OnTick(TimePoint now) {
    Duration elapsed{};
    if (last_tick_ != TimePoint{}) {
      elapsed = std::min<Duration>(now - last_tick_, kMaxTickInterval);
    }
    idle_time_ += elapsed;
    last_tick_ = now;
    return elapsed;
  }
  /// @return the time without any sign of the upstream.
  Duration idle_time() const { return idle_time_; }
  /// @return whether a report is late, or none has reached this process.
  bool is_overdue() const { return !has_report_ || idle_time_ > Timeout() / 2; }
  /// @return whether kMissedReports reports in a row are overdue, or the first
  /// one of a process that only returns packets.
  bool is_missing() const { return idle_time_ > Timeout(); }

 private:
  Duration Timeout() const {
    const bool only_returns =
        !has_report_ && !has_activity_ && returned_ >= kReturnedPackets;
    const Duration due = only_returns ? interval_ * kFirstReportPercent / 100
                                      : interval_ * kMissedReports;
    return due + kReportSlack;
  }

  std::chrono::milliseconds interval_ = kDefaultReportInterval;
  Duration idle_time_{};
  int returned_ = 0;           ///< Packets returned before the first report.
  bool has_activity_ = false;  ///< A report, or a packet that was not returned.
  bool has_report_ = false;    ///< Some report reached this process.
  TimePoint last_tick_{};
};

}  // namespace cowslip::segment
