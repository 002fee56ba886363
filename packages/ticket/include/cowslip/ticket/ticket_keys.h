#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"

namespace cowslip::ticket {

/// @return the prefix of the store keys of all tickets.
std::string_view TicketPrefix();

/// @return the store key of one ticket; keys sort in number order.
std::string TicketKey(TicketNumber number);

/// @return the store key of the snapshot.
std::string_view SnapshotKey();

/// @return the number in a ticket's store key, std::nullopt for other keys.
std::optional<TicketNumber> ParseTicketKey(std::string_view key);

}  // namespace cowslip::ticket
