#pragma once

#include <chrono>

#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// @return the part of a span after which an instance acts, so that not all do
///     so at the same moment. Eight steps, chosen by the address.
constexpr std::chrono::milliseconds SpreadByAddress(
    std::chrono::milliseconds span, InstanceAddress address) {
  constexpr int kSteps = 8;
  return span * (address % kSteps) / kSteps;
}

}  // namespace cowslip::peers
