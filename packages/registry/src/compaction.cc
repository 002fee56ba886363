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
    if (number > snapshot_.number) continue;
    obsolete_.push_back({number, stored.index, history.DigestAt(number)});
  }
}

bool Compaction::Step(Reason& reason) {
  if (done()) return true;
  return snapshot_written_ ? DeleteNext(reason) : WriteSnapshot(reason);
}

/// The store may have come back from an older copy since the plan was made,
/// with other tickets under the same numbers and modification indexes.
bool Compaction::TicketsAreAsPlanned(Reason& reason) {
  const auto history = registry_->Read(reason);
  if (!history) return false;
  const bool same = std::ranges::all_of(obsolete_, [&](const auto& planned) {
    return history->DigestAt(planned.number) == planned.digest;
  });
  if (!same) {
    reason.Set(RegistryError::kNumberTaken, "the tickets have changed");
  }
  return same;
}

bool Compaction::SnapshotCovers(TicketNumber number, Reason& reason) {
  LastReason<ConsulError> store_reason;
  const auto stored =
      registry_->client().Get(ticket::SnapshotKey(), store_reason);
  if (!stored) {
    reason.Set(RegistryError::kUnavailable, store_reason.Message());
    return false;
  }
  const auto text = stored->value ? stored->value->value : "";
  if (text != covering_text_) {
    LastReason<ticket::TicketError> ignored;
    const auto snapshot =
        ticket::ParseSnapshot(text, ticket::SnapshotKey(), ignored);
    covered_through_ = snapshot ? snapshot->number : TicketNumber{};
    covering_text_ = text;
  }
  if (number <= covered_through_) return true;
  reason.Set(RegistryError::kNumberTaken, "the store has lost the snapshot");
  return false;
}

bool Compaction::WriteSnapshot(Reason& reason) {
  if (!TicketsAreAsPlanned(reason)) return false;
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
  const auto& obsolete = obsolete_[next_obsolete_];
  if (!SnapshotCovers(obsolete.number, reason)) return false;
  LastReason<ConsulError> store_reason;
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
