#pragma once

#include <cstdint>
#include <vector>

#include "cowslip/relay/item.h"
#include "cowslip/relay/message.h"

namespace cowslip::relay {

/// Contents of the store as of one modification index.
struct Listing {
  std::vector<TicketText> tickets;
  std::vector<StoreEntry> items;  ///< Positions without an era.
  std::uint64_t index = 0;
};

}  // namespace cowslip::relay
