#include "cowslip/daemon/pause_gate.h"

namespace cowslip::daemon {

void PauseGate::BeginRound(TimePoint now) {
  if (!paused_until_) return;
  const bool informed = views_->control_pass() >= *paused_until_;
  if (informed || now - *paused_until_ >= kMaxHold) paused_until_.reset();
}

void PauseGate::OnWake(TimePoint now) {
  if (last_wake_ && now - *last_wake_ > kPause) paused_until_ = now;
  last_wake_ = now;
}

}  // namespace cowslip::daemon
