#pragma once

#include <array>
#include <cstdint>

#include "cowslip/segment/locality.h"

namespace cowslip::segment {

/// New connections that sidecars have accepted, by the data centre of the
/// sidecar.
class PlacementCounts {
 public:
  void Count(Locality locality) { ++counts_[static_cast<int>(locality)]; }
  std::uint64_t Of(Locality locality) const {
    return counts_[static_cast<int>(locality)];
  }

 private:
  std::array<std::uint64_t, 3> counts_{};
};

}  // namespace cowslip::segment
