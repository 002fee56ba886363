#pragma once

#include <cstdint>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// A decision about one flow, for the log.
struct FlowDecision {
  std::string_view action;  ///< Name of the decision.
  std::string_view reason;  ///< The input that decided it.
  FlowKey flow;
  InstanceAddress instance = 0;  ///< The other instance concerned, if any.
  std::uint64_t config = 0;      ///< Version of the routes that were used.
  std::uint32_t place = 0;       ///< Place on the list of sidecars.
  std::uint32_t wait_us = 0;     ///< Expected wait that was compared.
};

/// Receives decisions as they are made; it must not block.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void OnDecision(const FlowDecision& decision) = 0;
};

}  // namespace cowslip::segment
