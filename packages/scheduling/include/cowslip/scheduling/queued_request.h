#pragma once

#include <optional>

#include "cowslip/base.h"
#include "cowslip/scheduling/held_packets.h"
#include "cowslip/scheduling/request_terms.h"

namespace cowslip::scheduling {

/// A request that waits for a slot, or that an accepted SYN announces.
struct QueuedRequest {
  FlowKey flow;
  RequestTerms terms;
  TimePoint since{};      ///< When it began at its caller, as far as known.
  TimePoint arrival{};    ///< When it began to wait.
  HeldPackets packets{};  ///< Empty if the request is only announced.

  bool is_announced() const { return packets.empty(); }
  TimePoint target_at() const { return since + terms.target(); }
  /// @return std::nullopt if the time limit is not known.
  std::optional<TimePoint> limit_at() const {
    if (!terms.time_limit) return std::nullopt;
    return since + *terms.time_limit;
  }
};

}  // namespace cowslip::scheduling
