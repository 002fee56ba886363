#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "backoff.h"
#include "cowslip/consul.h"
#include "store_event_queue.h"

namespace cowslip::daemon {

/// Watches the store with blocking queries on its own thread, while enabled,
/// and posts each listing to the control thread.
class StoreWatch {
 public:
  StoreWatch(consul::StoreClient client, StoreEventQueue& events,
             std::uint64_t seed);
  ~StoreWatch();

  /// Enables or disables the watch. Callable from any thread.
  void SetEnabled(bool enabled);
  /// Ends the request in progress and reads all keys at once. Callable from any
  /// thread.
  void ReadAgain();
  /// @return whether the store answered the last request.
  bool reachable() const { return reachable_; }
  /// @return requests to the store and bytes exchanged with it so far.
  std::uint64_t calls() const { return calls_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  void Run();
  void ReadOnce(std::uint64_t& index);
  void WaitToRetry();

  consul::StoreClient client_;
  StoreEventQueue& events_;
  Backoff backoff_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool enabled_ = false;
  bool stopping_ = false;
  bool read_again_ = false;
  std::atomic<bool> reachable_{false};
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> bytes_{0};
  std::thread thread_;
};

}  // namespace cowslip::daemon
