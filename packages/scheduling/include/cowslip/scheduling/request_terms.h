#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace cowslip::scheduling {

/// Urgency of a request and the times within which a response is of use,
/// counted from the start of the request at its caller.
struct RequestTerms {
  static constexpr std::uint8_t kUnknownPriority = 255;
  /// Latency target of a request whose target is not known.
  static constexpr std::chrono::milliseconds kDefaultTarget{1000};
  /// Time limit that is assumed where one is needed and none is known.
  static constexpr std::chrono::milliseconds kDefaultTimeLimit{5000};

  std::uint8_t priority = kUnknownPriority;  ///< 0 is the most urgent one.
  /// std::nullopt if unknown.
  std::optional<std::chrono::milliseconds> latency_target;
  /// std::nullopt if unknown.
  std::optional<std::chrono::milliseconds> time_limit;

  /// @return whether the configuration calls for scheduling: the route has a
  /// priority or a time limit.
  bool IsClassified() const {
    return priority != kUnknownPriority || time_limit.has_value();
  }
  std::chrono::milliseconds target() const {
    return latency_target.value_or(kDefaultTarget);
  }
  std::chrono::milliseconds limit() const {
    return time_limit.value_or(kDefaultTimeLimit);
  }

  bool operator==(const RequestTerms&) const = default;
};

}  // namespace cowslip::scheduling
