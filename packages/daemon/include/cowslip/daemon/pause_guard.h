#pragma once

#include <chrono>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/daemon/view_publisher.h"

namespace cowslip::daemon {

/// Keeps a traffic thread from acting on an outdated view after a pause of the
/// process: it drops datagrams until the control thread has processed the
/// updates that arrived meanwhile, or for kMaxDropTime if no updates can be
/// received.
class PauseGuard {
 public:
  /// A longer time between two rounds of the thread counts as a pause.
  static constexpr std::chrono::milliseconds kMinPause{200};
  /// Datagrams are accepted again after this time in any case.
  static constexpr std::chrono::milliseconds kMaxDropTime{2000};

  explicit PauseGuard(const ViewPublisher& views) : views_(&views) {}

  /// Call it at the start of a round, before the view is updated.
  void BeginRound(TimePoint now);
  /// Call it after waiting for datagrams.
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
