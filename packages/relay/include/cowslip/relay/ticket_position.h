#pragma once

#include <compare>
#include <cstdint>

#include "cowslip/base.h"

namespace cowslip::relay {

/// Identifies the tickets in force at a process. A later era replaces an
/// earlier one, whatever the numbers.
struct TicketPosition {
  /// Rises when the store, back from an older copy, has other tickets under
  /// numbers that are in force.
  std::uint64_t era = 0;
  TicketNumber number{};

  auto operator<=>(const TicketPosition&) const = default;
};

}  // namespace cowslip::relay
