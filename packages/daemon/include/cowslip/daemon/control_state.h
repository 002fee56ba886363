#pragma once

#include <map>
#include <string>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership.h"
#include "cowslip/platform.h"
#include "cowslip/ticket.h"

namespace cowslip::daemon {

/// What the control thread knows: the ticket in force and the announcements.
///
/// Tickets are applied in number order and never taken back, whatever later
/// listings hold.
class ControlState {
 public:
  /// Takes in a full listing of the store.
  /// @return whether anything changed.
  bool Absorb(const std::vector<platform::KeyValue>& listing);

  /// Builds the next view; joins are put on the local monotonic clock.
  membership::ViewPtr BuildView(membership::WallTime wall_now, TimePoint now);

  const ticket::TicketState& tickets() const { return tickets_; }

 private:
  bool AbsorbTickets(const std::vector<platform::KeyValue>& listing);
  bool AbsorbAnnouncements(const std::vector<platform::KeyValue>& listing);

  ticket::TicketState tickets_;
  std::map<std::string, std::string> announcements_;  ///< JSON by key.
  std::uint64_t epoch_ = 0;
};

}  // namespace cowslip::daemon
