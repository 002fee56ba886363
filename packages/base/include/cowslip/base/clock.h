#pragma once

#include <chrono>

namespace cowslip {

/// Time on the monotonic clock. Protocol and decision code receives it as a
/// parameter and never reads a clock, so that tests can run in virtual time.
using TimePoint = std::chrono::steady_clock::time_point;
/// Difference of two TimePoints.
using Duration = std::chrono::steady_clock::duration;

}  // namespace cowslip
