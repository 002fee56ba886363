#include "cowslip/registry/compaction.h"

#include <algorithm>

namespace cowslip::registry {
namespace {

using consul::ConsulError;

/// Tickets that a snapshot remembers by author, note and digest.
constexpr std::size_t kFoldedKept = 256;
constexpr std::size_t kNoteBytes = 120;

ticket::FoldedTicket Remember(const StoredTicket& stored) {
  return {stored.ticket.number, stored.ticket.author,
          stored.ticket.note.substr(0, kNoteBytes),
          ticket::TicketDigest(stored.text)};
}

ticket::Ticket MakeSnapshot(const History& history) {
  auto snapshot = history.state.Snapshot();
  snapshot.folded = history.folded;
  for (const auto& [number, stored] : history.tickets) {
    const bool folds =
        number > history.snapshot && number <= history.state.number();
    if (folds) snapshot.folded.push_back(Remember(stored));
  }
  auto& folded = snapshot.folded;
  if (folded.size() > kFoldedKept) {
    folded.erase(folded.begin(), folded.end() - kFoldedKept);
  }
  return snapshot;
}

}  // namespace

std::optional<Compaction> Compaction::Plan(TicketRegistry& registry,
                                           Reason& reason) {
  const auto history = registry.Read(reason);
  if (!history) return std::nullopt;
  return Compaction(registry, *history);
}

Compaction::Compaction(TicketRegistry& registry, const History& history)
    : registry_(&registry),
      snapshot_(MakeSnapshot(history)),
      snapshot_index_(history.snapshot_index),
      snapshot_written_(history.snapshot == history.state.number()) {
  for (const auto& [number, stored] : history.tickets) {
    if (number <= snapshot_.number) doomed_.push_back({number, stored.index});
  }
}

bool Compaction::Step(Reason& reason) {
  if (done()) return true;
  return snapshot_written_ ? DeleteNext(reason) : WriteSnapshot(reason);
}

bool Compaction::WriteSnapshot(Reason& reason) {
  LastReason<ConsulError> fault;
  const auto result = registry_->client().PutCas(
      ticket::SnapshotKey(), ticket::FormatTicket(snapshot_), snapshot_index_,
      fault);
  if (!result) {
    reason.Set(RegistryError::kOutcomeUnknown, fault.Message());
    return false;
  }
  if (!result->applied) {
    reason.Set(RegistryError::kNumberTaken,
               "another compaction wrote the snapshot");
    return false;
  }
  snapshot_written_ = true;
  return true;
}

bool Compaction::DeleteNext(Reason& reason) {
  LastReason<ConsulError> fault;
  const auto& doomed = doomed_[next_];
  const auto result = registry_->client().DeleteCas(
      ticket::TicketKey(doomed.number), doomed.index, fault);
  if (!result) {
    reason.Set(RegistryError::kOutcomeUnknown, fault.Message());
    return false;
  }
  ++next_;
  return true;
}

}  // namespace cowslip::registry
