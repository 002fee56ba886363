#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/evacuation_report.h"
#include "cowslip/peers/evacuation_snapshot.h"

namespace cowslip::peers {

/// A data centre whose evacuation has come into force or has ended.
struct EvacuationChange {
  std::string data_center;
  bool evacuated = false;
  StorePosition position;           ///< Of the state that brought the change.
  std::chrono::milliseconds age{};  ///< Since an instance read it in the store.
};

/// The evacuated data centres as one process knows them, without I/O.
///
/// Processes learn of changes in any order, from the store and from each other:
/// the set with the newest position of the store holds, so all agree once each
/// has seen that one.
///
/// After the store has come back from an older copy, an evacuation may be
/// missing only because the store has lost it. One that was in force before
/// stays in force for kHoldTime, in which operators write again what was lost.
class EvacuationState {
 public:
  /// Time from the first sight of a new era of the store for which an
  /// evacuation that is missing in it stays in force.
  static constexpr std::chrono::seconds kHoldTime{30};

  /// The store holds this set.
  void OnStored(const EvacuationSnapshot& stored, TimePoint now) {
    Adopt(stored, now, now);
  }
  /// Another instance has sent its state.
  void OnReport(const EvacuationReport& report, TimePoint now);

  /// @return whether the state is known at all.
  bool known() const { return known_; }
  /// @return the newest set of the store; meaningful only if it is known.
  const EvacuationSnapshot& present() const { return present_; }
  /// @return whether a data centre is evacuated.
  bool IsEvacuated(std::string_view data_center, TimePoint now) const;
  /// @return all evacuated data centres.
  DataCenterNames InForce(TimePoint now) const;
  /// @return whether the sender of a report should be sent this state.
  bool Surpasses(const EvacuationReport& report, TimePoint now) const;
  /// @return whether a report whose names are left out has newer ones.
  bool IsSurpassedBy(const EvacuationReport& report) const;
  /// @return the state as it is sent to other instances.
  EvacuationReport Report(TimePoint now) const;
  /// @return what has come into force or ended since the last call.
  std::vector<EvacuationChange> TakeChanges(TimePoint now);

 private:
  /// @param read_at when an instance read the set in the store.
  void Adopt(const EvacuationSnapshot& other, TimePoint read_at, TimePoint now);
  /// Handles a set of an earlier era than the present one.
  void AdoptEarlier(const EvacuationSnapshot& other, TimePoint now);
  DataCenterNames HeldNames(TimePoint now) const;

  bool known_ = false;
  EvacuationSnapshot present_;
  /// Position at which the present names were first seen. An instance with the
  /// same names at an earlier one has missed changes, and could mistake one of
  /// them for news.
  StorePosition changed_at_;
  TimePoint read_at_{};  ///< When an instance read the present names.
  /// What was in force in the last known state of earlier eras.
  EvacuationSnapshot earlier_;
  TimePoint hold_until_{};
  /// Names that the store has held in the present era, so that they depend on
  /// its contents alone. Kept until the hold ends.
  DataCenterNames seen_in_era_;
  DataCenterNames reported_;  ///< In force as of the last TakeChanges().
};

}  // namespace cowslip::peers
