#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cowslip::scheduling {

/// A limit of requests per second, in thousandths; 0 stands for no limit.
class RequestRate {
 public:
  constexpr RequestRate() = default;
  static constexpr RequestRate FromThousandths(std::uint32_t value) {
    RequestRate rate;
    rate.thousandths_ = value;
    return rate;
  }
  /// @param per_second not negative. A limit that is too small for a thousandth
  /// remains a limit.
  static RequestRate FromPerSecond(double per_second) {
    if (!(per_second > 0)) return {};
    constexpr double kMax = UINT32_MAX;
    return FromThousandths(static_cast<std::uint32_t>(
        std::clamp(std::floor(per_second * kThousand), 1.0, kMax)));
  }

  constexpr std::uint32_t thousandths() const { return thousandths_; }
  constexpr double per_second() const { return thousandths_ / kThousand; }
  constexpr bool is_limit() const { return thousandths_ > 0; }
  /// @return the whole requests that a second may have: rounded down, as a
  /// further one would exceed the limit, and at least 1.
  constexpr std::uint32_t WholePerSecond() const {
    return std::max<std::uint32_t>(1, thousandths_ / 1000);
  }

  constexpr bool operator==(const RequestRate&) const = default;

 private:
  static constexpr double kThousand = 1000;

  std::uint32_t thousandths_ = 0;
};

}  // namespace cowslip::scheduling
