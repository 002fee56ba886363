#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::outlier {

/// What a sidecar reports of the responses of its upstream.
struct ResponseReport {
  /// Highest value of good_run.
  static constexpr std::uint8_t kMaxGoodRun = 250;

  /// Share of failed requests of one service address; std::nullopt if too few
  /// are known.
  std::optional<double> failure_share{};
  /// Typical time to the first byte of a response of that address.
  std::optional<Duration> response_time{};
  /// Requests of all addresses that were answered since the last failure.
  std::uint8_t good_run = 0;
  /// Failed requests of all addresses, modulo 256.
  std::uint8_t failures = 0;
  /// No request has ended since the upstream started.
  bool is_empty = false;

  bool operator==(const ResponseReport&) const = default;
};

}  // namespace cowslip::outlier
