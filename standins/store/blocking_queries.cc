#include "standins/store/blocking_queries.h"

namespace cowslip::standin {

void BlockingQueries::Wait(std::unique_lock<std::mutex>& lock,
                           const KeyRange& range, TimePoint deadline,
                           const std::function<bool()>& ready) {
  if (closed_) return;
  const auto waiter = waiters_.emplace(waiters_.end(), range);
  waiter->changed.wait_until(lock, deadline,
                             [&] { return waiter->ended || ready(); });
  waiters_.erase(waiter);
}

void BlockingQueries::Notify(const std::string& key) {
  for (auto& waiter : waiters_) {
    if (waiter.range.Covers(key)) waiter.changed.notify_one();
  }
}

void BlockingQueries::WakeAll() {
  for (auto& waiter : waiters_) {
    waiter.ended = true;
    waiter.changed.notify_one();
  }
}

void BlockingQueries::Close() {
  closed_ = true;
  WakeAll();
}

}  // namespace cowslip::standin
