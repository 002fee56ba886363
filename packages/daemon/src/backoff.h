#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace cowslip::daemon {

/// Exponential backoff with jitter: the delay doubles up to a maximum, and each
/// is multiplied by a random factor of one to two, so that processes don't
/// retry at the same time.
class Backoff {
 public:
  Backoff(std::chrono::milliseconds min, std::chrono::milliseconds max,
          std::uint64_t seed)
      : min_(min), max_(max), next_(min), random_(seed) {}

  /// @return the delay before the next retry.
  std::chrono::milliseconds Next() {
    std::uniform_real_distribution<double> factor(1.0, 2.0);
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
        next_ * factor(random_));
    next_ = std::min(next_ * 2, max_);
    return delay;
  }
  /// Starts again with the minimum, after a success.
  void Reset() { next_ = min_; }

 private:
  std::chrono::milliseconds min_;
  std::chrono::milliseconds max_;
  std::chrono::milliseconds next_;
  std::mt19937_64 random_;
};

}  // namespace cowslip::daemon
