#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "cowslip/base.h"
#include "experiments/workload.h"

namespace cowslip::experiments {

/// What an upstream did with a request.
struct Service {
  Duration wait{};    ///< Time in the queue.
  Duration finish{};  ///< When it is done.
};

/// An upstream with a number of slots and one queue, first in, first out.
class UpstreamModel {
 public:
  UpstreamModel(std::uint32_t slots, double speed);

  Service Add(const Job& job, Duration now);
  /// @return requests in progress, those in the queue included.
  std::uint32_t InProgress(Duration now);
  /// @return the time until a slot is free.
  Duration TimeToSlot(Duration now) const;

  std::uint32_t slots() const { return slots_; }
  double speed() const { return speed_; }
  Duration busy() const { return busy_; }
  /// Requests served take this much longer from now on.
  void SetSpeed(double speed) { speed_ = speed; }

 private:
  template <typename T>
  using MinHeap = std::priority_queue<T, std::vector<T>, std::greater<>>;

  std::uint32_t slots_;
  double speed_;
  MinHeap<Duration> free_;      ///< When each slot is free.
  MinHeap<Duration> finishes_;  ///< Of the requests in progress.
  Duration busy_{};
};

}  // namespace cowslip::experiments
