#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cowslip::telemetry {

/// What a process's log may take up.
struct LogLimits {
  std::size_t lines_per_second = 400;     ///< Lines beyond are counted only.
  std::size_t buffer_bytes = 128 * 1024;  ///< Waiting for the output.
};

/// Sets up a log on standard output that never blocks: lines wait in a buffer
/// until FlushLog(), and what doesn't fit is counted and left out.
void StartBoundedLog(std::string_view level, std::string_view instance,
                     const LogLimits& limits);

/// Writes as much as the output takes now. Tells once a second how many lines
/// were left out.
void FlushLog();

/// @return lines left out since the start.
std::uint64_t DroppedLogLines();

}  // namespace cowslip::telemetry
