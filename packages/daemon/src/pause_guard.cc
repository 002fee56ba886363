#include "cowslip/daemon/pause_guard.h"

namespace cowslip::daemon {

void PauseGuard::BeginRound(TimePoint now) {
  if (!pause_end_) return;
  const bool is_updated = publisher_->updated_through() >= *pause_end_;
  if (is_updated || now - *pause_end_ >= kMaxDropTime) pause_end_.reset();
}

void PauseGuard::OnWake(TimePoint now) {
  if (last_wake_ && now - *last_wake_ > kMinPause) pause_end_ = now;
  last_wake_ = now;
}

}  // namespace cowslip::daemon
