#pragma once

#include <chrono>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/daemon/view_publisher.h"

namespace cowslip::daemon {

/// Makes a traffic thread drop datagrams after a pause of the process, so that
/// it doesn't act on an outdated ticket or membership view.
///
/// Datagrams are dropped until the control thread has published the updates
/// that arrived during the pause, or for kMaxDropTime if no updates can be
/// received.
class PauseGuard {
 public:
  /// A longer time between two iterations of the loop counts as a pause.
  static constexpr std::chrono::milliseconds kMinPause{200};
  /// Datagrams are accepted again after this time in any case.
  static constexpr std::chrono::milliseconds kMaxDropTime{2000};

  explicit PauseGuard(const ViewPublisher& views) : views_(&views) {}

  /// Call it at the start of each loop iteration, before a new view is applied.
  void BeginRound(TimePoint now);
  /// Call it after each wait for datagrams.
  void OnWake(TimePoint now);
  /// @return whether datagrams may be processed.
  bool accepts_datagrams() const { return !paused_until_.has_value(); }

 private:
  const ViewPublisher* views_;
  std::optional<TimePoint> last_wake_;
  std::optional<TimePoint> paused_until_;  ///< End of the last pause; datagrams
                                           ///< are dropped while this is set.
};

}  // namespace cowslip::daemon
