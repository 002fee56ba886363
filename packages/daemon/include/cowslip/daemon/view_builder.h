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

/// Builds membership views from the ticket state and the announcements that a
/// process has received.
///
/// Caches decoded announcements, so that only changed ones are decoded again.
class ViewBuilder {
 public:
  /// Decodes the announcements that were added or changed. Join times are
  /// converted to the local monotonic clock when an announcement is decoded.
  void UpdateItems(const std::map<std::string, relay::StoreEntry>& items,
                   membership::WallTime wall_now, TimePoint now);

  /// Builds a view with the next epoch from the services of the ticket state
  /// and the current announcements.
  membership::ViewPtr BuildView(const ticket::TicketState& tickets);

 private:
  struct CachedAnnouncement {
    StorePosition position;
    /// Empty if the item was deleted or can't be decoded.
    std::optional<membership::Announcement> announcement;
  };

  std::map<std::string, CachedAnnouncement> announcements_;  ///< By key.
  std::uint64_t epoch_ = 0;
};

}  // namespace cowslip::daemon
