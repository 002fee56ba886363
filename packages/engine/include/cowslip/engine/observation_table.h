#pragma once

#include <queue>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/coap.h"
#include "cowslip/engine/feed.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// The observations of all flows, as one Feed per flow. The number of
/// observations is bounded.
class ObservationTable {
 public:
  explicit ObservationTable(std::size_t capacity) : capacity_(capacity) {}

  /// Adds the observation of a registration, or replaces its request.
  /// @return false if the table is full and the observation is not tracked.
  bool Register(flow::FlowSlot slot, const coap::Message& request);
  /// Adds an observation that another sidecar hands over.
  /// @param request the registration, with the message id and Observe number
  ///     that were last sent to the caller.
  /// @return nullptr if the table is full.
  Observation* TakeOver(flow::FlowSlot slot, const coap::Message& request);
  /// Removes the observation with this token.
  void Cancel(flow::FlowSlot slot, const Bytes& token);
  /// Removes all observations of the flow.
  void Erase(flow::FlowSlot slot);

  Feed* Find(flow::FlowSlot slot);
  bool Has(flow::FlowSlot slot) const { return feeds_.contains(slot); }
  std::vector<flow::FlowSlot> Slots() const;
  std::size_t size() const { return size_; }

  /// Makes TakeDue() return the flow at the time of its next retransmission.
  void Schedule(flow::FlowSlot slot, TimePoint at) {
    retransmissions_.push({at, slot});
  }
  /// @return the flows with messages to retransmit; the caller must schedule
  ///     each of them again.
  std::vector<flow::FlowSlot> TakeDue(TimePoint now);

 private:
  struct Retransmission {
    TimePoint at{};
    flow::FlowSlot slot{};
    auto operator<=>(const Retransmission&) const = default;
  };

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::unordered_map<flow::FlowSlot, Feed> feeds_;
  std::priority_queue<Retransmission, std::vector<Retransmission>,
                      std::greater<>>
      retransmissions_;
};

}  // namespace cowslip::engine
