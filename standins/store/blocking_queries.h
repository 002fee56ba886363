#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <list>
#include <mutex>

#include "cowslip/base/clock.h"
#include "standins/store/kv_table.h"

namespace cowslip::standin {

/// Blocking queries: reads that wait for a change of their keys. The caller of
/// each method holds the store's mutex.
class BlockingQueries {
 public:
  /// Waits until `ready` holds, WakeAll() is called or the deadline passes.
  void Wait(std::unique_lock<std::mutex>& lock, const KeyRange& range,
            TimePoint deadline, const std::function<bool()>& ready);
  /// Wakes the reads that cover a key, to check their condition again.
  void Notify(const std::string& key);
  /// Ends all waits.
  void WakeAll();
  /// Ends all waits; later calls of Wait() return at once.
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
