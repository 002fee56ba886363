#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>

#include "cowslip/membership.h"

namespace cowslip::daemon {

/// Hands the latest view from the control thread to the traffic threads.
class ViewCell {
 public:
  void Publish(membership::ViewPtr view) {
    const std::lock_guard lock(mutex_);
    epoch_.store(view->epoch(), std::memory_order_release);
    view_ = std::move(view);
  }
  /// @return the epoch of the latest view, 0 before the first; cheap to poll.
  std::uint64_t epoch() const { return epoch_.load(std::memory_order_acquire); }
  membership::ViewPtr Get() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }

 private:
  std::atomic<std::uint64_t> epoch_{0};
  mutable std::mutex mutex_;
  membership::ViewPtr view_;
};

}  // namespace cowslip::daemon
