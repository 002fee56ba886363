#pragma once

#include <deque>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::engine {

/// Flows whose redirects are to be sent again soon, since those may get lost.
class RedirectRepeats {
 public:
  /// Flows that wait at the same time; further ones wait for their next
  /// datagram.
  static constexpr std::size_t kCapacity = 4096;

  /// Times must not go backwards.
  void Add(const FlowKey& key, TimePoint at) {
    if (waiting_.size() < kCapacity) waiting_.push_back({at, key});
  }
  /// @return a flow that is due, or std::nullopt.
  std::optional<FlowKey> Take(TimePoint now) {
    if (waiting_.empty() || waiting_.front().at > now) return std::nullopt;
    const auto key = waiting_.front().key;
    waiting_.pop_front();
    return key;
  }

 private:
  struct Repeat {
    TimePoint at{};
    FlowKey key;
  };
  std::deque<Repeat> waiting_;
};

}  // namespace cowslip::engine
