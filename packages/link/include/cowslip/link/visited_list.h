#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>

#include "cowslip/base.h"

namespace cowslip::link {

/// The upstreams that a frame has passed, or that its sender found silent.
class VisitedList {
 public:
  static constexpr std::size_t kCapacity = 8;

  /// @return false if the list is full; it is then unchanged.
  bool Add(UpstreamId id) {
    if (Contains(id)) return true;
    if (count_ == kCapacity) return false;
    ids_[count_++] = id;
    return true;
  }
  bool Contains(UpstreamId id) const {
    const auto used = ids();
    return std::find(used.begin(), used.end(), id) != used.end();
  }
  bool full() const { return count_ == kCapacity; }
  bool empty() const { return count_ == 0; }
  std::span<const UpstreamId> ids() const { return {ids_.data(), count_}; }

 private:
  std::array<UpstreamId, kCapacity> ids_{};
  std::size_t count_ = 0;
};

}  // namespace cowslip::link
