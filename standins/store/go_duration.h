#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace cowslip::standin {

/// Parses Go durations such as "10s", "1m30s" and "1500ms"; a number without a
/// unit is in seconds.
std::optional<std::chrono::milliseconds> ParseGoDuration(std::string_view text);

}  // namespace cowslip::standin
