#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cowslip/base.h"
#include "cowslip/membership.h"
#include "cowslip/relay.h"
#include "cowslip/ticket.h"

namespace cowslip::daemon {

/// Turns the items that reach a process into views.
class ControlState {
 public:
  /// Reads the announcements that are new among the items. Joins are put on
  /// the local monotonic clock when they are first seen.
  void TakeItems(const std::map<std::string, relay::StoreEntry>& items,
                 membership::WallTime wall_now, TimePoint now);

  /// Builds the next view of a ticket and the announcements taken.
  membership::ViewPtr BuildView(const ticket::TicketState& tickets);

 private:
  struct Known {
    std::uint64_t index = 0;
    std::optional<membership::Announcement> announcement;
  };

  std::map<std::string, Known> announcements_;  ///< By key.
  std::uint64_t epoch_ = 0;
};

}  // namespace cowslip::daemon
