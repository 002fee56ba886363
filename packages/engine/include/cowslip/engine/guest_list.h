#pragma once

#include <deque>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// The flows with which an upstream serves single requests for the owner of the
/// flow, another upstream. Ordered by the time of the latest request, to find
/// those that are idle.
class DelegatedFlowQueue {
 public:
  /// A flow without a request for this time is idle.
  static constexpr std::chrono::seconds kIdleTime{10};

  /// Adds a flow, once for each of its requests.
  void Add(flow::FlowSlot slot, const FlowKey& key, TimePoint now) {
    entries_.push_back({now + kIdleTime, slot, key});
  }
  /// Removes an idle flow from the queue.
  /// @return its slot, or std::nullopt if no flow in `table` is idle.
  std::optional<flow::FlowSlot> TakeIdle(const flow::FlowTable& table,
                                         TimePoint now);

 private:
  struct Entry {
    TimePoint expires;
    flow::FlowSlot slot{};
    FlowKey key;
  };
  std::deque<Entry> entries_;
};

}  // namespace cowslip::engine
