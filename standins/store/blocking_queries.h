#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>

#include "cowslip/base/clock.h"
#include "standins/store/kv_table.h"

namespace cowslip::standin {

/// The reads that wait for a change. All calls are made with the store's mutex
/// held.
class BlockingQueries {
 public:
  /// Waits until `ready` holds, WakeAll() is called or the deadline passes.
  void Wait(std::unique_lock<std::mutex>& lock, const KeyRange& range,
            TimePoint deadline, const std::function<bool()>& ready);
  /// Has the reads that cover a key check their condition again.
  void Notify(const std::string& key);
  /// Ends all waits.
  void WakeAll();
  /// Ends all waits, and later ones at once.
  void Close();

  std::size_t waiting() const { return waiters_.size(); }

 private:
  struct Waiter {
    explicit Waiter(const KeyRange& watched) : range(watched) {}

    KeyRange range;
    std::condition_variable changed;
    bool ended = false;
  };

  std::list<Waiter> waiters_;
  bool closed_ = false;
};

}  // namespace cowslip::standin
