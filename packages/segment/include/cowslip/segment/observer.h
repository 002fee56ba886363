#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/outlier.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// A decision about one flow, for the log.
struct FlowDecision {
  std::string_view action;  ///< Name of the decision.
  std::string_view reason;  ///< Why it was taken.
  FlowKey flow;
  InstanceAddress instance = 0;  ///< Other instance involved, 0 if none.
  std::uint64_t config = 0;      ///< Version of the route table that was used.
  std::uint32_t place = 0;       ///< Index on the candidate list.
  std::uint32_t wait_us = 0;     ///< Expected wait that was compared.
  /// Urgency of the request; std::nullopt if the decision is not about one.
  std::optional<std::uint8_t> priority{};
  std::chrono::milliseconds waited{};  ///< How long the request waited.
};

/// Receives each decision synchronously. Implementations must not block.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void OnDecision(const FlowDecision& decision) = 0;
  /// A member has become an outlier, or is none any more.
  virtual void OnOutlierChange(const outlier::OutlierChange&) {}
};

}  // namespace cowslip::segment
