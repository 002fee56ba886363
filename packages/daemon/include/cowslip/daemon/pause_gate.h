#pragma once

#include <chrono>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/daemon/view_cell.h"

namespace cowslip::daemon {

/// Keeps a traffic thread from acting on an old ticket after a pause of the
/// process: it drops datagrams until the control thread has taken in the news
/// that came meanwhile, or for kMaxHold if no news can be had.
class PauseGate {
 public:
  /// A longer time between two rounds of the thread counts as a pause.
  static constexpr std::chrono::milliseconds kPause{200};
  static constexpr std::chrono::milliseconds kMaxHold{2000};

  explicit PauseGate(const ViewCell& views) : views_(&views) {}

  /// Call it at the start of a round, before the view is adopted.
  void BeginRound(TimePoint now);
  /// Call it after waiting for datagrams.
  void OnWake(TimePoint now);
  /// @return whether datagrams may be handled.
  bool open() const { return !paused_until_.has_value(); }

 private:
  const ViewCell* views_;
  std::optional<TimePoint> last_wake_;
  std::optional<TimePoint> paused_until_;  ///< End of a pause not yet over.
};

}  // namespace cowslip::daemon
