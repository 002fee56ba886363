#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>

#include "cowslip/membership.h"

namespace cowslip::daemon {

/// Hands the latest view from the control thread to the traffic threads, and
/// ticket numbers that these see on frames the other way.
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
  /// Notes the ticket number of a frame; the control thread fetches newer ones.
  void NoteTicket(TicketNumber number) {
    auto highest = noticed_.load(std::memory_order_relaxed);
    while (highest < Raw(number) &&
           !noticed_.compare_exchange_weak(highest, Raw(number))) {
    }
  }
  TicketNumber noticed_ticket() const { return TicketNumber(noticed_.load()); }
  /// Notes that the control thread has taken in the news that had arrived by
  /// this time, and has published what followed from it.
  void NoteControlPass(TimePoint begun) {
    control_pass_.store(begun.time_since_epoch().count());
  }
  TimePoint control_pass() const {
    return TimePoint(Duration(control_pass_.load()));
  }

 private:
  std::atomic<Duration::rep> control_pass_{0};
  std::atomic<std::uint64_t> noticed_{0};
  std::atomic<std::uint64_t> epoch_{0};
  mutable std::mutex mutex_;
  membership::ViewPtr view_;
};

}  // namespace cowslip::daemon
