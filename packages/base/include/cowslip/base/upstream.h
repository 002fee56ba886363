#pragma once

#include <cstdint>
#include <string>

#include "cowslip/base/clock.h"
#include "cowslip/base/endpoint.h"
#include "cowslip/base/ids.h"

namespace cowslip {

enum class UpstreamState : std::uint8_t {
  kActive,    ///< Adopts new flows.
  kDraining,  ///< Keeps the flows it owns and adopts none.
  kDown,      ///< Its process doesn't answer; adopts none until it does.
};

/// One member of a service: an upstream and the sidecar beside it.
struct Upstream {
  UpstreamId id{};
  ServiceId service{};
  Incarnation incarnation{};
  Endpoint sidecar;         ///< Where its sidecar receives frames.
  std::uint32_t slots = 1;  ///< Requests that it runs at the same time.
  double weight = 1.0;      ///< Share of new flows relative to its peers.
  UpstreamState state = UpstreamState::kActive;
  TimePoint joined{};  ///< Start of this incarnation.
  std::string data_center;
};

}  // namespace cowslip
