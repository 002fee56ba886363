#pragma once

#include <optional>
#include <vector>

#include "cowslip/registry/ticket_registry.h"

namespace cowslip::registry {

/// Replaces tickets by a snapshot, one write of the store per step.
///
/// First the snapshot is written, under the condition that nobody else wrote
/// it since it was read; only then the tickets that it covers are deleted, the
/// lowest first. It may end after any step: readers take the snapshot and the
/// tickets above it, and the next compaction deletes what was left.
class Compaction {
 public:
  using Reason = TicketRegistry::Reason;

  /// Reads what there is to do.
  static std::optional<Compaction> Plan(TicketRegistry& registry,
                                        Reason& reason);

  /// Makes the next write. @return false if it failed; the reason says why.
  bool Step(Reason& reason);
  bool done() const { return snapshot_written_ && next_ == doomed_.size(); }

  /// @return the number that the snapshot covers.
  TicketNumber number() const { return snapshot_.number; }
  /// @return tickets that the plan deletes.
  std::size_t deletion_count() const { return doomed_.size(); }

 private:
  struct Doomed {
    TicketNumber number{};
    std::uint64_t index = 0;
  };

  Compaction(TicketRegistry& registry, const History& history);
  bool WriteSnapshot(Reason& reason);
  bool DeleteNext(Reason& reason);

  TicketRegistry* registry_;
  ticket::Ticket snapshot_;
  std::uint64_t snapshot_index_;
  bool snapshot_written_;
  std::vector<Doomed> doomed_;
  std::size_t next_ = 0;
};

}  // namespace cowslip::registry
