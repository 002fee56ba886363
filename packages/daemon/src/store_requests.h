#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "backoff.h"
#include "cowslip/consul.h"
#include "store_event_queue.h"

namespace cowslip::daemon {

/// Sends the one-off requests of a process to the store on its own thread, and
/// posts the results to the control thread. The watch has its own client, see
/// StoreWatch.
class StoreRequests {
 public:
  /// @param record whether RequestPeers() also writes the instance record of
  ///     this process, if it is missing or differs.
  StoreRequests(consul::StoreClient client, StoreEventQueue& events,
                const relay::Peer& self, bool record, std::uint64_t seed);
  ~StoreRequests();

  /// Schedules a listing of the instance records of the data centre; retried
  /// until it succeeds.
  void RequestPeers();
  /// Schedules one listing of the tickets, without retries.
  void RequestTickets();
  /// @return requests to the store and bytes exchanged with it so far.
  std::uint64_t calls() const { return calls_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  void Run();
  /// @return whether it succeeded.
  bool ReadPeers();
  void ReadTickets();
  bool EnsureRecord(const std::vector<consul::KeyValue>& records);
  void UpdateStats();

  consul::StoreClient client_;
  StoreEventQueue& events_;
  relay::Peer self_;
  bool write_record_;
  Backoff backoff_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool peers_requested_ = false;
  bool tickets_requested_ = false;
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> bytes_{0};
  std::thread thread_;
};

}  // namespace cowslip::daemon
