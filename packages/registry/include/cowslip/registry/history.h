#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/ticket.h"

namespace cowslip::registry {

/// A ticket as it is stored.
struct StoredTicket {
  ticket::Ticket ticket;
  std::string text;
  std::uint64_t index = 0;  ///< Modification index, for compare-and-set.
};

/// The accepted tickets in the store: those stored one by one, the latest of
/// those that the snapshot replaced, and the state that results from all.
struct History {
  std::map<TicketNumber, StoredTicket> tickets;  ///< Not deleted yet.
  std::vector<ticket::FoldedTicket> folded;      ///< From the snapshot.
  TicketNumber snapshot{};           ///< Last ticket that the snapshot covers.
  std::uint64_t snapshot_index = 0;  ///< Modification index, 0 if none exists.
  ticket::TicketState state;         ///< After all accepted tickets.

  /// @return the digest of an accepted ticket's text, std::nullopt if it is
  ///     unknown: not accepted, or replaced by a snapshot too long ago.
  std::optional<std::string> DigestAt(TicketNumber number) const;
  /// @return the author of an accepted ticket, or "unknown".
  std::string AuthorAt(TicketNumber number) const;
};

}  // namespace cowslip::registry
