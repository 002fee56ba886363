#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowslip::segment {

/// Status report that an upstream sends to its sidecar.
struct UpstreamReport {
  std::string id;  ///< Usually new for each process, but a restart may keep it.
  /// Start of the process, time of day.
  std::chrono::milliseconds started_at{};
  std::uint64_t sequence = 0;  ///< Increases with each report of one process.
  bool draining = false;       ///< Accepts no new connections.
  std::uint32_t slots = 1;     ///< Requests that it serves concurrently.
  /// Until it reaches its full speed.
  std::chrono::milliseconds warmup_left{};
};

}  // namespace cowslip::segment
