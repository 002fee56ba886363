#pragma once

#include <cstdint>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Counts since the start of a balancer.
struct BalancerStats {
  std::uint64_t packets = 0;           ///< From callers.
  std::uint64_t openings = 0;          ///< That open a connection.
  std::uint64_t no_route = 0;          ///< To an address without a route.
  std::uint64_t no_configuration = 0;  ///< Before any version was known.
  std::uint64_t no_member = 0;         ///< To a service without members.
  std::uint64_t resent = 0;            ///< Openings that a sidecar left open.
  std::uint64_t given_up = 0;          ///< Openings that no sidecar took.
  std::uint64_t resets = 0;            ///< Told to callers.
  std::uint64_t unheld = 0;            ///< Packets of flows that nobody holds.
  std::uint64_t unwatched = 0;         ///< Sent once, as too many wait.
  /// From a packet whose sidecar was not known until a sidecar has taken it.
  LatencyHistogram placement_time;
};

}  // namespace cowslip::segment
