#pragma once

#include <deque>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::engine {

/// Queue of flows whose redirects are sent again after a short time. Redirects
/// are not acknowledged, and the first ones may be lost.
class RedirectResendQueue {
 public:
  /// Flows in the queue. The redirects of further flows are repeated with their
  /// next datagram only.
  static constexpr std::size_t kCapacity = 4096;

  /// @param at when to send again; not before that of the previous call.
  void Add(const FlowKey& key, TimePoint at) {
    if (queue_.size() < kCapacity) queue_.push_back({at, key});
  }
  /// Removes a flow that is due.
  /// @return its key, or std::nullopt if none is due.
  std::optional<FlowKey> Take(TimePoint now) {
    if (queue_.empty() || queue_.front().at > now) return std::nullopt;
    const auto key = queue_.front().key;
    queue_.pop_front();
    return key;
  }

 private:
  struct Entry {
    TimePoint at{};
    FlowKey key;
  };
  std::deque<Entry> queue_;
};

}  // namespace cowslip::engine
