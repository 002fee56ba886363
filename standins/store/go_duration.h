#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace cowslip::standin {

/// Parses durations such as "10s", "1m30s" and "1500ms"; a bare number counts
/// seconds.
std::optional<std::chrono::milliseconds> ParseGoDuration(std::string_view text);

}  // namespace cowslip::standin
