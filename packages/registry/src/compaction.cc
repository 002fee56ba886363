#include "cowslip/registry/compaction.h"

#include <algorithm>

namespace cowslip::registry {
namespace {

using consul::ConsulError;

/// Replaced tickets whose author, note and digest a snapshot holds.
constexpr std::size_t kMaxFolded = 256;

ticket::Ticket MakeSnapshot(const History& history) {
  auto snapshot = history.state.Snapshot();
  snapshot.folded = history.folded;
  for (const auto& [number, stored] : history.tickets) {
    const bool newly_folded =
        number > history.snapshot && number <= history.state.number();
    if (newly_folded) {
      snapshot.folded.push_back(ticket::Summarize(stored.ticket, stored.text));
    }
  }
  auto& folded = snapshot.folded;
  if (folded.size() > kMaxFolded) {
    folded.erase(folded.begin(), folded.end() - kMaxFolded);
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
    if (number <= snapshot_.number) obsolete_.push_back({number, stored.index});
  }
}

bool Compaction::Step(Reason& reason) {
  if (done()) return true;
  return snapshot_written_ ? DeleteNext(reason) : WriteSnapshot(reason);
}

bool Compaction::WriteSnapshot(Reason& reason) {
  LastReason<ConsulError> store_reason;
  const auto result = registry_->client().PutCas(
      ticket::SnapshotKey(), ticket::FormatTicket(snapshot_), snapshot_index_,
      store_reason);
  if (!result) {
    reason.Set(RegistryError::kOutcomeUnknown, store_reason.Message());
    return false;
  }
  if (!result->applied) {
    reason.Set(RegistryError::kNumberTaken,
               "another compaction has written the snapshot");
    return false;
  }
  snapshot_written_ = true;
  return true;
}

bool Compaction::DeleteNext(Reason& reason) {
  LastReason<ConsulError> store_reason;
  const auto& obsolete = obsolete_[next_obsolete_];
  const auto result = registry_->client().DeleteCas(
      ticket::TicketKey(obsolete.number), obsolete.index, store_reason);
  if (!result) {
    reason.Set(RegistryError::kOutcomeUnknown, store_reason.Message());
    return false;
  }
  ++next_obsolete_;
  return true;
}

}  // namespace cowslip::registry
