#pragma once

#include <algorithm>
#include <chrono>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Judges whether there is an upstream at all, by how long nothing was heard of
/// it while this process ran.
///
/// Answers the pattern of an upstream that dies for good, or does not return
/// from a power loss, beside a sidecar that lives: its flows are lost, and its
/// sidecar must not hold up what is found out about those of others.
class UpstreamPresence {
 public:
  /// How often an upstream reports itself, unless it is set.
  static constexpr std::chrono::milliseconds kDefaultReportInterval{1000};
  /// Reports in a row that only a dead upstream misses: they come over a
  /// connection on the same machine.
  static constexpr int kMissedReports = 2;
  /// What a report may take, by a sidecar that used up its share of the
  /// processor.
  static constexpr std::chrono::milliseconds kReportSlack{200};
  /// A longer time between two ticks counts as this much: the process stood
  /// still and heard nothing.
  static constexpr std::chrono::milliseconds kLongestStep{100};

  void SetReportInterval(std::chrono::milliseconds interval) {
    limit_ = kMissedReports * interval + kReportSlack;
  }
  void OnHeard() { silence_ = Duration{}; }
  void OnTick(TimePoint now) {
    if (ticked_ != TimePoint{}) {
      silence_ += std::min<Duration>(now - ticked_, kLongestStep);
    }
    ticked_ = now;
  }
  bool absent() const { return silence_ > limit_; }

 private:
  Duration limit_ = kMissedReports * kDefaultReportInterval + kReportSlack;
  Duration silence_{};
  TimePoint ticked_{};
};

}  // namespace cowslip::segment
