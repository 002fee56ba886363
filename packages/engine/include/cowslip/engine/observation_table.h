#pragma once

#include <queue>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/engine/feed.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// The bounded table of feeds, by flow.
class ObservationTable {
 public:
  explicit ObservationTable(std::size_t capacity) : capacity_(capacity) {}

  /// @return false if the table is full; the observation is not tracked.
  bool Register(flow::FlowSlot slot, const coap::Message& request);
  /// Adds an observation that a predecessor hands over.
  /// @param request the registration; its message id and Observe number are the
  ///     last ones told to the caller.
  /// @return nullptr if the table is full.
  Observation* TakeOver(flow::FlowSlot slot, const coap::Message& request);
  void Cancel(flow::FlowSlot slot, const Bytes& token);
  void Erase(flow::FlowSlot slot);

  Feed* Find(flow::FlowSlot slot);
  bool Has(flow::FlowSlot slot) const { return feeds_.contains(slot); }
  std::vector<flow::FlowSlot> Slots() const;
  std::size_t size() const { return size_; }

  /// Makes TakeDue() return the flow when its next message is to be repeated.
  void Schedule(flow::FlowSlot slot, TimePoint at) { due_.push({at, slot}); }
  /// @return flows with messages to repeat; each is to be scheduled again.
  std::vector<flow::FlowSlot> TakeDue(TimePoint now);

 private:
  struct Due {
    TimePoint at{};
    flow::FlowSlot slot{};
    auto operator<=>(const Due&) const = default;
  };

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::unordered_map<flow::FlowSlot, Feed> feeds_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
};

}  // namespace cowslip::engine
