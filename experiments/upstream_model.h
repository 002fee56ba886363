#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "cowslip/base.h"
#include "experiments/workload.h"

namespace cowslip::experiments {

/// Times of a request at an upstream.
struct Service {
  Duration wait{};    ///< Time in the queue.
  Duration finish{};  ///< When its processing ends.
};

/// Queueing model of an upstream: a number of parallel slots and one FIFO
/// queue.
class UpstreamModel {
 public:
  UpstreamModel(std::uint32_t slots, double speed);

  /// Queues a request that arrives now.
  Service Add(const Job& job, Duration now);
  /// @return the number of requests in the slots and in the queue.
  std::uint32_t InProgress(Duration now);
  /// @return the time until a slot is free.
  Duration TimeToSlot(Duration now) const;

  std::uint32_t slots() const { return slots_; }
  double speed() const { return speed_; }
  Duration busy() const { return busy_; }
  /// Sets the speed at which requests added from now on are processed.
  void SetSpeed(double speed) { speed_ = speed; }

 private:
  template <typename T>
  using MinHeap = std::priority_queue<T, std::vector<T>, std::greater<>>;

  std::uint32_t slots_;
  double speed_;
  MinHeap<Duration> slot_free_times_;
  MinHeap<Duration> end_times_;  ///< Of the requests in progress.
  Duration busy_{};              ///< Sum over all slots.
};

}  // namespace cowslip::experiments
