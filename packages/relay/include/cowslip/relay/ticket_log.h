#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/ticket.h"

namespace cowslip::relay {

/// Text of one ticket, or of a snapshot of all tickets up to a number, as it is
/// sent between processes.
struct TicketText {
  TicketNumber number{};
  bool snapshot = false;
  std::string text;  ///< YAML.

  bool operator==(const TicketText&) const = default;
};

/// State of the ticket in force and the texts of the latest tickets, which
/// other processes are sent.
///
/// Tickets are applied in the order of their numbers; the number never
/// decreases.
class TicketLog {
 public:
  /// Texts kept for other processes. One that is further behind is sent a
  /// snapshot.
  static constexpr std::size_t kMaxTexts = 64;

  /// Applies the next ticket or a newer snapshot.
  /// @return whether the ticket in force changed; false with a reason if the
  ///     text is invalid, and without one if its number is old or leaves a gap.
  bool Apply(const TicketText& ticket, LastReason<ticket::TicketError>& reason);
  /// @return the texts that bring a process from a number to the ticket in
  ///     force, in order.
  std::vector<TicketText> ChangesSince(TicketNumber number) const;

  TicketNumber number() const { return state_.number(); }
  const ticket::TicketState& state() const { return state_; }

 private:
  ticket::TicketState state_;
  std::deque<TicketText> texts_;
};

}  // namespace cowslip::relay
