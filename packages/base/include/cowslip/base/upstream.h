#pragma once

#include <cstdint>
#include <string>

#include "cowslip/base/clock.h"
#include "cowslip/base/endpoint.h"
#include "cowslip/base/ids.h"

namespace cowslip {

/// Whether an upstream accepts work.
enum class UpstreamState : std::uint8_t {
  kActive,    ///< Accepts new flows.
  kDraining,  ///< Keeps the flows it owns and accepts no new ones.
  kDown,      ///< Process unresponsive: no new flows until it answers.
};

/// One member of a service: an upstream and the sidecar that runs beside it.
struct Upstream {
  UpstreamId id{};
  ServiceId service{};
  Incarnation incarnation{};
  Endpoint sidecar;         ///< Where the sidecar receives frames.
  std::uint32_t slots = 1;  ///< Requests that it serves concurrently.
  double weight = 1.0;      ///< Share of new flows relative to its peers.
  UpstreamState state = UpstreamState::kActive;
  TimePoint joined{};  ///< Start of this incarnation.
  std::string data_center;
};

}  // namespace cowslip
