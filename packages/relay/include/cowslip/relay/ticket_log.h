#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "cowslip/ticket.h"

namespace cowslip::relay {

/// A ticket, or all tickets up to a number, on its way between processes.
struct TicketText {
  TicketNumber number{};
  bool snapshot = false;
  std::string text;  ///< YAML.

  bool operator==(const TicketText&) const = default;
};

/// The ticket in force and the latest texts that led to it.
///
/// Numbers are applied in order and never taken back.
class TicketLog {
 public:
  /// Texts kept to bring others up to date; older ones get a snapshot.
  static constexpr std::size_t kMaxTexts = 64;

  /// @return whether the ticket in force changed; false with a reason if the
  ///     text is refused, and without one if it is old or not yet next.
  bool Apply(const TicketText& ticket, LastReason<ticket::TicketError>& reason);
  /// @return what leads from a number to the one in force, in order.
  std::vector<TicketText> ChangesSince(TicketNumber number) const;

  TicketNumber number() const { return state_.number(); }
  const ticket::TicketState& state() const { return state_; }

 private:
  ticket::TicketState state_;
  std::deque<TicketText> texts_;
};

}  // namespace cowslip::relay
