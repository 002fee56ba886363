#pragma once

#include <optional>
#include <vector>

#include "cowslip/registry/ticket_registry.h"

namespace cowslip::registry {

/// Replaces tickets in the store by a snapshot, with one write per step.
///
/// The first step writes the snapshot, by compare-and-set on the index at which
/// it was read. Only the later steps delete the tickets that it covers, in the
/// order of their numbers. A compaction may be abandoned after any step:
/// readers apply the snapshot and the tickets above it, and the next compaction
/// deletes the remaining ones.
class Compaction {
 public:
  using Reason = TicketRegistry::Reason;

  /// Reads the tickets and prepares the snapshot and the list of deletions.
  /// @return std::nullopt if the tickets can't be read.
  static std::optional<Compaction> Plan(TicketRegistry& registry,
                                        Reason& reason);

  /// Makes the next write. @return false with a reason if it failed.
  bool Step(Reason& reason);
  bool done() const {
    return snapshot_written_ && next_obsolete_ == obsolete_.size();
  }

  /// @return the number of the last ticket that the snapshot covers.
  TicketNumber number() const { return snapshot_.number; }
  /// @return the number of tickets that are deleted.
  std::size_t deletion_count() const { return obsolete_.size(); }

 private:
  /// A ticket to delete.
  struct ObsoleteTicket {
    TicketNumber number{};
    std::uint64_t index = 0;  ///< Modification index of the ticket's key.
    /// Of the ticket that was accepted under the number, see History.
    std::optional<std::string> digest;
  };

  Compaction(TicketRegistry& registry, const History& history);
  /// @return whether the store still has the tickets that the snapshot folds.
  bool TicketsAreAsPlanned(Reason& reason);
  /// @return whether the store has a snapshot that covers the number, so that
  ///     readers ignore the ticket's key.
  bool SnapshotCovers(TicketNumber number, Reason& reason);
  bool WriteSnapshot(Reason& reason);
  bool DeleteNext(Reason& reason);

  TicketRegistry* registry_;
  ticket::Ticket snapshot_;
  std::uint64_t snapshot_index_;
  bool snapshot_written_;
  std::vector<ObsoleteTicket> obsolete_;
  std::size_t next_obsolete_ = 0;
  /// The snapshot that SnapshotCovers() has read last.
  std::string covering_text_;
  TicketNumber covered_through_{};
};

}  // namespace cowslip::registry
