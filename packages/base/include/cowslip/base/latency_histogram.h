#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace cowslip {

/// Histogram of durations with fixed buckets; recording doesn't allocate.
class LatencyHistogram {
 public:
  /// Upper bounds of the buckets, inclusive. One more bucket counts longer
  /// durations.
  static constexpr std::array<std::chrono::milliseconds, 11> kBounds{
      std::chrono::milliseconds(1),   std::chrono::milliseconds(2),
      std::chrono::milliseconds(5),   std::chrono::milliseconds(10),
      std::chrono::milliseconds(25),  std::chrono::milliseconds(50),
      std::chrono::milliseconds(100), std::chrono::milliseconds(250),
      std::chrono::milliseconds(500), std::chrono::milliseconds(1000),
      std::chrono::milliseconds(2500)};

  /// Counts a duration in its bucket and adds it to the sum.
  void Record(std::chrono::nanoseconds duration) {
    const auto* bound =
        std::lower_bound(kBounds.begin(), kBounds.end(), duration);
    ++counts_[static_cast<std::size_t>(bound - kBounds.begin())];
    sum_ += duration;
  }
  /// @return the count of each bucket; the last one has no upper bound.
  const std::array<std::uint64_t, kBounds.size() + 1>& counts() const {
    return counts_;
  }
  /// @return the sum of all durations.
  std::chrono::nanoseconds sum() const { return sum_; }

 private:
  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  std::chrono::nanoseconds sum_{};
};

}  // namespace cowslip
