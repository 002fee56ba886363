#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cowslip/scheduling/request_terms.h"

namespace cowslip::scheduling {

/// One value for each priority that metrics tell apart. Their number is
/// limited, as a configuration may use any of 256 priorities.
template <typename T>
class PriorityCounts {
 public:
  /// Values of the label, in the order of the values.
  static constexpr std::array<std::string_view, 6> kLabels{
      "0", "1", "2", "3", "other", "unknown"};

  T& operator[](std::uint8_t priority) { return values_[IndexOf(priority)]; }
  const T& operator[](std::uint8_t priority) const {
    return values_[IndexOf(priority)];
  }
  const std::array<T, kLabels.size()>& values() const { return values_; }

 private:
  static std::size_t IndexOf(std::uint8_t priority) {
    constexpr std::size_t kOther = 4;
    constexpr std::size_t kUnknown = 5;
    if (priority == RequestTerms::kUnknownPriority) return kUnknown;
    return priority < kOther ? priority : kOther;
  }

  std::array<T, kLabels.size()> values_{};
};

}  // namespace cowslip::scheduling
