#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/scheduling/request_terms.h"

namespace cowslip::scheduling {

/// The requests that an upstream was given and has not answered.
class SlotTable {
 public:
  /// Requests given to the upstream beyond its slots: hides the round trip
  /// between a response and the next request.
  static constexpr std::uint32_t kExtraRequests = 1;

  void SetSlots(std::uint32_t slots) { slots_ = slots == 0 ? 1 : slots; }
  std::uint32_t slots() const { return slots_; }
  std::uint32_t taken() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  /// @return whether the upstream is given one more request.
  bool HasRoom() const { return taken() < slots_ + kExtraRequests; }
  /// @return whether a slot of the upstream has no request.
  bool HasIdleSlot() const { return taken() < slots_; }
  bool Has(const FlowKey& flow) const { return running_.contains(flow); }
  /// The upstream was given a request. It is given one beyond its slots, too.
  void Take(const FlowKey& flow, const RequestTerms& terms, TimePoint now) {
    running_[flow] = now + terms.limit();
  }
  /// @return whether the flow had a request in progress.
  bool Free(const FlowKey& flow) { return running_.erase(flow) > 0; }
  void Clear() { running_.clear(); }
  /// Frees the slots of requests that have been in progress for their time
  /// limits: their callers have given up, and the upstream may never answer.
  /// @return their flows.
  std::vector<FlowKey> FreeOverdue(TimePoint now);

 private:
  std::uint32_t slots_ = 1;
  /// Ends of the time limits by flow.
  std::unordered_map<FlowKey, TimePoint, FlowKeyHash> running_;
};

}  // namespace cowslip::scheduling
