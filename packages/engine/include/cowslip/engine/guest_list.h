#pragma once

#include <deque>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// The flows at an upstream that serve single requests for owners elsewhere, in
/// the order of their latest request.
class GuestList {
 public:
  /// A guest that had no request for this time is removed.
  static constexpr std::chrono::seconds kIdleTime{10};

  void Add(flow::FlowSlot slot, const FlowKey& key, TimePoint now) {
    guests_.push_back({now + kIdleTime, slot, key});
  }
  /// @return the slot of a guest whose time is over, if `table` still has it.
  std::optional<flow::FlowSlot> TakeIdle(const flow::FlowTable& table,
                                         TimePoint now);

 private:
  struct Guest {
    TimePoint expires;
    flow::FlowSlot slot{};
    FlowKey key;
  };
  std::deque<Guest> guests_;
};

}  // namespace cowslip::engine
