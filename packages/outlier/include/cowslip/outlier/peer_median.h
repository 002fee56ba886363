#pragma once

#include <algorithm>
#include <cstddef>
#include <span>

namespace cowslip::outlier {

/// @param sorted values of all peers of a service and of the member itself, at
/// least two.
/// @param own value of the member, which is left out once.
/// @return the median of the other values; the lower one of two in the middle.
inline double PeerMedian(std::span<const double> sorted, double own) {
  const auto position = static_cast<std::size_t>(
      std::lower_bound(sorted.begin(), sorted.end(), own) - sorted.begin());
  const std::size_t middle = (sorted.size() - 2) / 2;
  return sorted[middle < position ? middle : middle + 1];
}

}  // namespace cowslip::outlier
