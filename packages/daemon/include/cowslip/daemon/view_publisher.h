#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>

#include "cowslip/membership.h"

namespace cowslip::daemon {

/// Shared state of the control thread and the traffic threads.
///
/// The control thread publishes the latest membership view; the traffic threads
/// report the ticket numbers of received frames, so that the control thread
/// fetches tickets that this process doesn't have yet. Thread-safe.
class ViewPublisher {
 public:
  void Publish(membership::ViewPtr view) {
    const std::lock_guard lock(mutex_);
    epoch_.store(view->epoch(), std::memory_order_release);
    view_ = std::move(view);
  }
  /// @return the epoch of the latest view, 0 before the first; without locking.
  std::uint64_t epoch() const { return epoch_.load(std::memory_order_acquire); }
  /// @return the latest view, nullptr before the first.
  membership::ViewPtr Get() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }
  /// Reports the ticket number of a frame; the control thread fetches the
  /// ticket if it is newer than the one in force.
  void ReportTicket(TicketNumber number) {
    auto highest = highest_reported_ticket_.load(std::memory_order_relaxed);
    while (
        highest < Raw(number) &&
        !highest_reported_ticket_.compare_exchange_weak(highest, Raw(number))) {
    }
  }
  TicketNumber highest_reported_ticket() const {
    return TicketNumber(highest_reported_ticket_.load());
  }
  /// Called by the control thread when all updates that had arrived by this
  /// time are processed and the resulting view is published.
  void SetUpdatedThrough(TimePoint arrival_limit) {
    updated_through_.store(arrival_limit.time_since_epoch().count());
  }
  TimePoint updated_through() const {
    return TimePoint(Duration(updated_through_.load()));
  }

 private:
  std::atomic<Duration::rep> updated_through_{0};
  std::atomic<std::uint64_t> highest_reported_ticket_{0};
  std::atomic<std::uint64_t> epoch_{0};
  mutable std::mutex mutex_;
  membership::ViewPtr view_;
};

}  // namespace cowslip::daemon
