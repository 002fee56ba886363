#include "cowslip/membership/lease_gate.h"

#include <algorithm>

namespace cowslip::membership {

void LeaseGate::Doubt() {
  if (state_ == LeaseState::kLost) return;
  state_ = LeaseState::kUnverified;
  ++doubts_;
  asked_ = false;
}

void LeaseGate::OnEvent(TimePoint now) {
  const auto gap = now - last_event_.value_or(now);
  last_event_ = std::max(last_event_.value_or(now), now);
  if (gap > lease_) Doubt();
}

void LeaseGate::OnOwnViewEntry(const Upstream* entry) {
  if (entry != nullptr && entry->incarnation == incarnation_) {
    seen_in_view_ = true;
    return;
  }
  // Views may lag behind the claim: an older entry, or none before the first
  // own one, says nothing.
  const bool newer = entry != nullptr && entry->incarnation > incarnation_;
  const bool vanished = entry == nullptr && seen_in_view_;
  if (!newer && !vanished) return;
  seen_in_view_ = false;
  Doubt();
}

void LeaseGate::OnRecordedDead() {
  if (death_noted_) return;
  death_noted_ = true;
  Doubt();
}

void LeaseGate::OnVerified(LeaseCheckId answered) {
  if (state_ != LeaseState::kUnverified || Raw(answered) != doubts_) return;
  state_ = LeaseState::kHeld;
}

void LeaseGate::OnClaimed(Incarnation incarnation) {
  if (state_ == LeaseState::kLost) return;
  incarnation_ = incarnation;
  seen_in_view_ = false;
  death_noted_ = false;
}

std::optional<LeaseCheckId> LeaseGate::TakeCheck() {
  if (asked_ || state_ != LeaseState::kUnverified) return std::nullopt;
  asked_ = true;
  return LeaseCheckId(doubts_);
}

}  // namespace cowslip::membership
