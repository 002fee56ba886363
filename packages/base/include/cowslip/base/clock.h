#pragma once

#include <chrono>

namespace cowslip {

/// Monotonic instant; decision code receives it, and never reads a clock.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

}  // namespace cowslip
