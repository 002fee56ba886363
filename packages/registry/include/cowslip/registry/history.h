#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/ticket.h"

namespace cowslip::registry {

/// A ticket as the store holds it.
struct StoredTicket {
  ticket::Ticket ticket;
  std::string text;
  std::uint64_t index = 0;  ///< Of its write, for a compare-and-set.
};

/// The accepted tickets as the store holds them.
struct History {
  std::map<TicketNumber, StoredTicket> tickets;  ///< Not yet deleted.
  std::vector<ticket::FoldedTicket> folded;      ///< Latest in the snapshot.
  TicketNumber snapshot{};           ///< The snapshot covers up to this one.
  std::uint64_t snapshot_index = 0;  ///< Of its write, 0 if there is none.
  ticket::TicketState state;         ///< All of them, folded.

  /// @return the digest of an accepted ticket's text, std::nullopt if it is
  ///     not known (not accepted, or folded too long ago).
  std::optional<std::string> DigestAt(TicketNumber number) const;
  /// @return the author of an accepted ticket, "unknown" if it is not known.
  std::string AuthorAt(TicketNumber number) const;
};

}  // namespace cowslip::registry
