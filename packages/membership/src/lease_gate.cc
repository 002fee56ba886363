#include "cowslip/membership/lease_gate.h"

#include <algorithm>

namespace cowslip::membership {

void LeaseGate::RequestCheck() {
  if (state_ == LeaseState::kLost) return;
  state_ = LeaseState::kUnverified;
  ++last_check_;
  check_taken_ = false;
}

void LeaseGate::OnEvent(TimePoint now) {
  const auto gap = now - last_event_.value_or(now);
  last_event_ = std::max(last_event_.value_or(now), now);
  if (gap > lease_) RequestCheck();
  RequestCheckIfUnseen(now);
}

void LeaseGate::RequestCheckIfUnseen(TimePoint now) {
  if (in_last_view_ || state_ != LeaseState::kHeld) return;
  if (!next_unseen_check_) next_unseen_check_ = now + unseen_check_interval_;
  if (now < *next_unseen_check_) return;
  unseen_check_interval_ *= 2;
  next_unseen_check_ = now + unseen_check_interval_;
  ++last_check_;
  check_taken_ = false;
}

void LeaseGate::OnOwnViewEntry(const Upstream* entry) {
  if (entry != nullptr && entry->incarnation == incarnation_) {
    in_last_view_ = true;
    next_unseen_check_.reset();
    unseen_check_interval_ = lease_;
    return;
  }
  // Views may lag behind the claim: an older or a missing entry before the
  // first own one was seen is no contradiction. Later, it shows that the store
  // has lost the claim.
  const bool newer = entry != nullptr && entry->incarnation > incarnation_;
  if (!newer && !in_last_view_) return;
  in_last_view_ = false;
  RequestCheck();
}

void LeaseGate::OnRecordedDead() {
  if (death_handled_) return;
  death_handled_ = true;
  RequestCheck();
}

void LeaseGate::OnVerified(LeaseCheckId check) {
  if (state_ != LeaseState::kUnverified || Raw(check) != last_check_) return;
  state_ = LeaseState::kHeld;
}

void LeaseGate::OnClaimed(Incarnation incarnation) {
  if (state_ == LeaseState::kLost) return;
  incarnation_ = incarnation;
  in_last_view_ = false;
  death_handled_ = false;
}

std::optional<LeaseCheckId> LeaseGate::TakeCheck() {
  if (check_taken_ || state_ == LeaseState::kLost) return std::nullopt;
  check_taken_ = true;
  return LeaseCheckId(last_check_);
}

}  // namespace cowslip::membership
