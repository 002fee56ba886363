#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "cowslip/consul.h"
#include "mailbox.h"
#include "retry_timer.h"

namespace cowslip::daemon {

/// The single calls that a process makes to the store, on a thread of its own.
class StoreCalls {
 public:
  /// @param record whether the process's own instance record is written when
  ///     peers are read and it is missing or differs.
  StoreCalls(consul::StoreClient client, Mailbox& mailbox,
             const relay::Peer& self, bool record, std::uint64_t seed);
  ~StoreCalls();

  /// Lists the instance records of the data centre; repeated until it works.
  void ReadPeers();
  /// Lists the tickets once.
  void ReadTickets();
  std::uint64_t calls() const { return calls_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  void Run();
  /// @return whether it needn't be repeated.
  bool CallPeers();
  void CallTickets();
  bool WriteRecord(const std::vector<consul::KeyValue>& records);
  void Count();

  consul::StoreClient client_;
  Mailbox& mailbox_;
  relay::Peer self_;
  bool record_;
  RetryTimer retry_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool peers_wanted_ = false;
  bool tickets_wanted_ = false;
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> bytes_{0};
  std::thread thread_;
};

}  // namespace cowslip::daemon
