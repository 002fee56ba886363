#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Whether an incarnation may accept new work.
enum class LeaseState : std::uint8_t {
  kHeld,        ///< New work is accepted.
  kUnverified,  ///< No new work until the announcement has been read again.
  kLost,        ///< Superseded by another process; this state is final.
};

/// Number of a request to read the own announcement again. A later request
/// makes the result of an earlier one void.
enum class LeaseCheckId : std::uint64_t {};

/// Decides whether the local incarnation may accept new work.
///
/// While this process was paused, another one may have recorded the death of
/// the incarnation or claimed the next one. After a pause longer than the
/// lease, and whenever a view contradicts the own state, the gate closes until
/// the announcement has been read from the store again. Call OnEvent() before
/// any other handling of an event.
class LeaseGate {
 public:
  /// @param claimed when the claim of the incarnation began; if absent, the
  ///     lease counts from the first event.
  LeaseGate(Duration lease, Incarnation incarnation,
            std::optional<TimePoint> claimed)
      : lease_(lease),
        incarnation_(incarnation),
        last_event_(claimed),
        unseen_check_interval_(lease) {}

  /// Closes the gate if the last event is longer ago than the lease. Requests a
  /// check, with the gate left open, if no view has the own entry yet: the
  /// store may have lost the claim right after it.
  void OnEvent(TimePoint now);
  /// Handles the own entry of a new view, nullptr if the view has none. Closes
  /// the gate if the entry has a newer incarnation, or has vanished or gone
  /// back to an older one.
  void OnOwnViewEntry(const Upstream* entry);
  /// Handles a view in which the death of the own incarnation is recorded. This
  /// may be the first view that has an entry of this process at all.
  void OnRecordedDead();
  /// Reopens the gate: the announcement was read and shows this incarnation
  /// alive. @param check the request that the read belongs to.
  void OnVerified(LeaseCheckId check);
  /// Handles the claim of a new incarnation by this process.
  void OnClaimed(Incarnation incarnation);
  /// Closes the gate for good: another process claimed a newer incarnation.
  void OnSuperseded() { state_ = LeaseState::kLost; }

  /// @return the number of a read of the announcement that is now due; each
  ///     one is returned once.
  std::optional<LeaseCheckId> TakeCheck();
  Incarnation incarnation() const { return incarnation_; }
  LeaseState state() const { return state_; }
  /// @return whether new work may be accepted.
  bool admits_work() const { return state_ == LeaseState::kHeld; }

 private:
  /// Closes the gate and requests a read of the announcement.
  void RequestCheck();
  void RequestCheckIfUnseen(TimePoint now);

  Duration lease_;
  Incarnation incarnation_;
  std::optional<TimePoint> last_event_;
  LeaseState state_ = LeaseState::kHeld;
  std::uint64_t last_check_ = 0;
  bool check_taken_ = true;
  bool in_last_view_ = false;
  /// When to check a claim that no view has, and the interval after that.
  std::optional<TimePoint> next_unseen_check_;
  Duration unseen_check_interval_;
  bool death_handled_ = false;
};

}  // namespace cowslip::membership
