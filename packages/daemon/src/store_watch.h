#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "cowslip/consul.h"
#include "mailbox.h"
#include "retry_timer.h"

namespace cowslip::daemon {

/// Holds the watch of the store, on a thread of its own, while it is wanted.
class StoreWatch {
 public:
  StoreWatch(consul::StoreClient client, Mailbox& mailbox, std::uint64_t seed);
  ~StoreWatch();

  void SetWanted(bool wanted);
  /// @return whether the last call was answered.
  bool reachable() const { return reachable_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  void Run();
  void WatchOnce(std::uint64_t& index);
  void WaitToRetry();

  consul::StoreClient client_;
  Mailbox& mailbox_;
  RetryTimer retry_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool wanted_ = false;
  bool stopping_ = false;
  std::atomic<bool> reachable_{false};
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> bytes_{0};
  std::thread thread_;
};

}  // namespace cowslip::daemon
