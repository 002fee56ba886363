#include "store_event_queue.h"

#include <sys/eventfd.h>

namespace cowslip::daemon {

StoreEventQueue::StoreEventQueue()
    : wake_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

void StoreEventQueue::Post(StoreEvent event) {
  const std::lock_guard lock(mutex_);
  events_.push_back(std::move(event));
  eventfd_write(wake_.get(), 1);
}

std::vector<StoreEvent> StoreEventQueue::Take() {
  const std::lock_guard lock(mutex_);
  eventfd_t count = 0;
  eventfd_read(wake_.get(), &count);
  return std::exchange(events_, {});
}

}  // namespace cowslip::daemon
