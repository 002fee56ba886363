#pragma once

#include <chrono>

namespace cowslip::standin {

/// Faults that apply to every datagram, in both directions.
struct FaultSettings {
  /// Probability of losing a datagram.
  double loss = 0.0;
  /// Probability of delivering a datagram twice.
  double duplicate = 0.0;
  /// Upper limit of the uniform random delay of a reordered delivery.
  std::chrono::milliseconds reorder{0};
  /// Probability of reordering a delivery.
  double reorder_share = 1.0;
  /// Constant delay of each delivery.
  std::chrono::milliseconds delay{0};
};

}  // namespace cowslip::standin
