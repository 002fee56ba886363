#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "cowslip/segment/refusal_reason.h"

namespace cowslip::segment {

/// Number of refused SYNs by reason.
class RefusalCounts {
 public:
  std::uint64_t& operator[](RefusalReason reason) {
    return counts_[static_cast<std::size_t>(reason)];
  }
  std::uint64_t operator[](RefusalReason reason) const {
    return counts_[static_cast<std::size_t>(reason)];
  }

 private:
  std::array<std::uint64_t, kRefusalReasons.size()> counts_{};
};

}  // namespace cowslip::segment
