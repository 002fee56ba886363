#pragma once

#include <compare>
#include <cstdint>

namespace cowslip {

/// A point in the history of the store. Revisions are comparable only within
/// one era: the store assigns them again after it has come back from a copy.
struct StorePosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

}  // namespace cowslip
