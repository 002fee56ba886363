#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cowslip::telemetry {

/// Limits of the log output of a process.
struct LogLimits {
  std::size_t lines_per_second = 400;     ///< Further lines are dropped.
  std::size_t buffer_bytes = 128 * 1024;  ///< Lines not yet written.
};

/// Sets up a non-blocking log on standard output, for use from one thread.
/// Lines are buffered until FlushLog(); lines that exceed a limit are dropped
/// and counted.
/// @param level "debug", "info", "warn" or "error".
void StartBoundedLog(std::string_view level, std::string_view instance,
                     const LogLimits& limits);

/// Writes as much of the buffer as standard output accepts without blocking.
/// Logs the number of dropped lines at most once a second, if it has changed.
void FlushLog();

/// @return the number of lines dropped since the start.
std::uint64_t DroppedLogLines();

}  // namespace cowslip::telemetry
