#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowslip::segment {

/// What an upstream says of itself.
struct UpstreamReport {
  std::string id;  ///< Of this start, as a rule; a restart may keep it.
  std::chrono::milliseconds
      started_at{};            ///< Start of the process, time of day.
  std::uint64_t sequence = 0;  ///< Rises with each report of one start.
  bool draining = false;
  std::uint32_t slots = 1;  ///< Requests that it runs at the same time.
  std::chrono::milliseconds warmup_left{};
};

}  // namespace cowslip::segment
