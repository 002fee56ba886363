#include "cowslip/daemon/pause_guard.h"

namespace cowslip::daemon {

void PauseGuard::BeginRound(TimePoint now) {
  if (!paused_until_) return;
  const bool informed = views_->updated_through() >= *paused_until_;
  if (informed || now - *paused_until_ >= kMaxDropTime) paused_until_.reset();
}

void PauseGuard::OnWake(TimePoint now) {
  if (last_wake_ && now - *last_wake_ > kMinPause) paused_until_ = now;
  last_wake_ = now;
}

}  // namespace cowslip::daemon
