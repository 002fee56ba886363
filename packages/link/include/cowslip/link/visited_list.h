#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>

#include "cowslip/base.h"

namespace cowslip::link {

/// List of the upstreams that a frame must not be forwarded to: first the
/// unresponsive ones, which are skipped, then those that it has visited.
class VisitedList {
 public:
  static constexpr std::size_t kCapacity = 8;

  /// Adds a visited upstream.
  /// @return false if the list is full; it is then unchanged.
  bool Add(UpstreamId id) {
    if (Contains(id)) return true;
    if (count_ == kCapacity) return false;
    ids_[count_++] = id;
    return true;
  }
  /// Adds an upstream that is skipped since it doesn't answer. All such
  /// upstreams must be added before the first visited one.
  /// @return false if the list is full or has visited upstreams.
  bool AddUnresponsive(UpstreamId id) {
    if (silent_count_ != count_ || !Add(id)) return false;
    silent_count_ = count_;
    return true;
  }
  bool IsUnresponsive(UpstreamId id) const {
    const auto unresponsive = ids().first(silent_count_);
    return std::find(unresponsive.begin(), unresponsive.end(), id) !=
           unresponsive.end();
  }
  /// @return the number of unresponsive upstreams, which come first in ids().
  std::size_t unresponsive_count() const { return silent_count_; }
  /// Removes the visited upstreams, but not the unresponsive ones.
  void ClearVisited() { count_ = silent_count_; }
  /// @return whether the upstream is in the list, unresponsive or visited.
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
  std::size_t silent_count_ = 0;
};

}  // namespace cowslip::link
