#include "store_listing.h"

#include <algorithm>

#include "cowslip/telemetry.h"

namespace cowslip::daemon {
namespace {

/// @return the ticket number of the snapshot, 0 if it can't be parsed.
TicketNumber SnapshotNumber(const consul::KeyValue& entry) {
  LastReason<ticket::TicketError> reason;
  const auto snapshot = ticket::ParseSnapshot(entry.value, entry.key, reason);
  if (snapshot) return snapshot->number;
  telemetry::Log(telemetry::LogLevel::kError, "store_value_refused",
                 {{"key", entry.key}, {"reason", reason.Message()}});
  return TicketNumber{};
}

}  // namespace

relay::Listing ToListing(const consul::ListResult& result) {
  relay::Listing listing;
  listing.index = result.index;
  for (const auto& entry : result.values) {
    if (entry.key == ticket::SnapshotKey()) {
      listing.tickets.push_back({SnapshotNumber(entry), true, entry.value});
    } else if (const auto number = ticket::ParseTicketKey(entry.key)) {
      listing.tickets.push_back({*number, false, entry.value});
    } else {
      listing.items.push_back(
          {entry.key, entry.value, {0, entry.modify_index}});
    }
  }
  std::sort(listing.tickets.begin(), listing.tickets.end(),
            [](const auto& a, const auto& b) {
              return std::pair(!a.snapshot, a.number) <
                     std::pair(!b.snapshot, b.number);
            });
  return listing;
}

}  // namespace cowslip::daemon
