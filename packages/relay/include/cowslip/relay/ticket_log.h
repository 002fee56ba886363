#pragma once

#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cowslip/relay/ticket_position.h"
#include "cowslip/ticket.h"

namespace cowslip::relay {

/// Text of one ticket, or of a snapshot of all tickets up to a number, as it is
/// sent between processes.
struct TicketText {
  TicketNumber number{};
  bool snapshot = false;
  std::string text;       ///< YAML.
  std::uint64_t era = 0;  ///< TicketPosition::era; not used in listings.

  TicketPosition position() const { return {era, number}; }
  bool operator==(const TicketText&) const = default;
};

/// State of the ticket in force and the texts of the latest tickets, which
/// other processes are sent.
///
/// Tickets are applied in the order of their numbers; the position never
/// decreases.
class TicketLog {
 public:
  /// Texts kept for other processes, and digests kept for Contradicts(). A
  /// process that is further behind is sent a snapshot.
  static constexpr std::size_t kMaxTexts = 64;

  /// Applies the next ticket of the present era, or a snapshot with a higher
  /// position.
  /// @return whether the ticket in force changed; false with a reason if the
  ///     text is invalid, and without one if its position is old or leaves a
  ///     gap.
  bool Apply(const TicketText& ticket, LastReason<ticket::TicketError>& reason);
  /// Applies a ticket of the store, as if it had the present era.
  bool ApplyStored(const TicketText& ticket,
                   LastReason<ticket::TicketError>& reason);
  /// @return whether the store has another ticket under a number that is in
  ///     force, so that the store has lost the latter.
  /// @param stored all tickets of the store, a snapshot first.
  bool Contradicts(std::span<const TicketText> stored);
  /// Begins the next era with the tickets of the store.
  /// @param stored all tickets of the store, a snapshot first.
  void ReplaceWith(std::span<const TicketText> stored,
                   LastReason<ticket::TicketError>& reason);
  /// @return the texts that bring a process from a position to the ticket in
  ///     force, in order.
  std::vector<TicketText> ChangesSince(const TicketPosition& position) const;

  TicketNumber number() const { return state_.number(); }
  TicketPosition position() const { return {era_, number()}; }
  const ticket::TicketState& state() const { return state_; }

 private:
  /// @return the ticket that is known to be in force under this number, nullptr
  ///     if none is.
  const ticket::FoldedTicket* Find(TicketNumber number) const;
  /// @return whether another ticket is known to be in force under its number.
  bool HasOther(const ticket::FoldedTicket& ticket) const;
  void Remember(ticket::FoldedTicket ticket);

  ticket::TicketState state_;
  std::uint64_t era_ = 0;
  std::deque<TicketText> texts_;
  /// Summaries of the latest tickets, in order; may have gaps.
  std::deque<ticket::FoldedTicket> summaries_;
  /// Digest of the last snapshot that did not contradict.
  std::string checked_snapshot_;
};

}  // namespace cowslip::relay
