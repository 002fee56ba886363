#pragma once

#include <algorithm>
#include <chrono>

#include "cowslip/base/clock.h"

namespace cowslip {

/// Limits a rate: tokens are added over time up to a burst, and each use takes
/// one.
class TokenBucket {
 public:
  /// @param per_second tokens that are added in a second.
  /// @param burst most tokens that it holds; it is full at the start.
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  void Add(double tokens) { tokens_ = std::min(burst_, tokens_ + tokens); }
  /// @return whether it holds so many tokens.
  bool Has(double tokens, TimePoint now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    Add(per_second_ * elapsed.count());
    return tokens_ >= tokens;
  }
  /// Takes a token. @return whether there was one.
  bool TryTake(TimePoint now) {
    if (!Has(1, now)) return false;
    --tokens_;
    return true;
  }

 private:
  double per_second_;
  double burst_;
  double tokens_;
  TimePoint last_refill_{};
};

}  // namespace cowslip
