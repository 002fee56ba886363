#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"

namespace cowslip::ticket {

/// @return the store key below which all tickets stand.
std::string_view TicketPrefix();

/// @return the store key of one ticket; keys sort in number order.
std::string TicketKey(TicketNumber number);

/// @return the store key of the folded state.
std::string_view SnapshotKey();

/// @return the number that a ticket key names.
std::optional<TicketNumber> ParseTicketKey(std::string_view key);

}  // namespace cowslip::ticket
