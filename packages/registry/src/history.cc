#include "cowslip/registry/history.h"

#include <algorithm>

namespace cowslip::registry {
namespace {

const ticket::FoldedTicket* FindFolded(const History& history,
                                       TicketNumber number) {
  const auto found =
      std::find_if(history.folded.begin(), history.folded.end(),
                   [&](const auto& folded) { return folded.number == number; });
  return found == history.folded.end() ? nullptr : &*found;
}

/// @return nullptr if there is no such ticket, or if the snapshot covers its
///     number: it was then accepted only if the snapshot has a summary of it.
const StoredTicket* FindStored(const History& history, TicketNumber number) {
  if (number <= history.snapshot) return nullptr;
  const auto found = history.tickets.find(number);
  return found == history.tickets.end() ? nullptr : &found->second;
}

}  // namespace

std::optional<std::string> History::DigestAt(TicketNumber number) const {
  if (const auto* folded_at = FindFolded(*this, number)) {
    return folded_at->digest;
  }
  const auto* stored = FindStored(*this, number);
  if (stored == nullptr) return std::nullopt;
  return ticket::TicketDigest(stored->text);
}

std::string History::AuthorAt(TicketNumber number) const {
  if (const auto* folded_at = FindFolded(*this, number)) {
    return folded_at->author;
  }
  const auto* stored = FindStored(*this, number);
  return stored == nullptr ? "unknown" : stored->ticket.author;
}

}  // namespace cowslip::registry
