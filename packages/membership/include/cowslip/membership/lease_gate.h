#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Whether an incarnation may take new work.
enum class LeaseState : std::uint8_t {
  kHeld,
  kUnverified,  ///< Nothing new until the announcement has been read again.
  kLost,        ///< Another process has superseded the incarnation; final.
};

/// Numbers the doubts of one process; an answer to an older one is void.
enum class LeaseCheckId : std::uint64_t {};

/// Keeps an incarnation from taking new work after a pause, in which others may
/// have recorded its death or superseded it.
///
/// Call OnEvent() before anything else that an event leads to.
class LeaseGate {
 public:
  /// @param claimed when the claim was begun; absent: at the first event.
  LeaseGate(Duration lease, Incarnation incarnation,
            std::optional<TimePoint> claimed)
      : lease_(lease), incarnation_(incarnation), last_event_(claimed) {}

  /// A gap longer than the lease since the last event raises a doubt.
  void OnEvent(TimePoint now);
  /// The own entry of a view, nullptr if the view has none.
  void OnOwnViewEntry(const Upstream* entry);
  /// A view says that the death of the own incarnation was recorded. It may be
  /// the first that this process hears of itself.
  void OnRecordedDead();
  /// The announcement was read and names this incarnation, alive.
  void OnVerified(LeaseCheckId answered);
  /// A new incarnation was claimed.
  void OnClaimed(Incarnation incarnation);
  void OnSuperseded() { state_ = LeaseState::kLost; }

  /// @return the question to ask of the store, once for every doubt.
  std::optional<LeaseCheckId> TakeCheck();
  Incarnation incarnation() const { return incarnation_; }
  LeaseState state() const { return state_; }
  bool admits_work() const { return state_ == LeaseState::kHeld; }

 private:
  void Doubt();

  Duration lease_;
  Incarnation incarnation_;
  std::optional<TimePoint> last_event_;
  LeaseState state_ = LeaseState::kHeld;
  std::uint64_t doubts_ = 0;
  bool asked_ = true;
  bool seen_in_view_ = false;
  bool death_noted_ = false;
};

}  // namespace cowslip::membership
