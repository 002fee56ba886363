#pragma once

#include <cstdint>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Counts since the start of a sidecar.
struct SidecarStats {
  std::uint64_t frames = 0;          ///< From balancers and sidecars.
  std::uint64_t openings = 0;        ///< Among them, new connections.
  std::uint64_t taken = 0;           ///< Openings given to the upstream.
  std::uint64_t passed = 0;          ///< Frames passed on.
  std::uint64_t unheld = 0;          ///< Frames that nobody took.
  std::uint64_t unanswered = 0;      ///< Openings that the upstream left open.
  std::uint64_t bounced = 0;         ///< Packets that the upstream returned.
  std::uint64_t asked = 0;           ///< Packets of unknown flows it was given.
  std::uint64_t resets = 0;          ///< Told to callers of lost flows.
  std::uint64_t to_callers = 0;      ///< Packets of the upstream.
  std::uint64_t stale_balancer = 0;  ///< Openings by an old configuration.
  /// From a request passed to the upstream to the first data of its answer.
  LatencyHistogram request_time;
};

}  // namespace cowslip::segment
