#pragma once

#include <cstddef>

#include "cowslip/base.h"

namespace cowslip::peers {

/// Limit of the bytes that a process sends for one purpose.
///
/// Answers the load of a start of many instances: however many ask or change at
/// once, a link of 10 Mbit/s is busy for at most 51 ms with the burst, and to
/// 8 % after it.
class ByteBudget {
 public:
  static constexpr double kBurst = 64'000;
  static constexpr double kPerSecond = 100'000;

  /// Takes the bytes of a message.
  /// @param reserve bytes that have to be left for more important messages.
  /// @return false if there are too few; then nothing is taken.
  bool TryTake(std::size_t bytes, TimePoint now, std::size_t reserve = 0) {
    if (!bucket_.Has(static_cast<double>(bytes + reserve), now)) return false;
    bucket_.Add(-static_cast<double>(bytes));
    return true;
  }

 private:
  TokenBucket bucket_{kPerSecond, kBurst};
};

}  // namespace cowslip::peers
