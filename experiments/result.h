#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cowslip/base.h"
#include "experiments/wait_trace.h"

namespace cowslip::experiments {

/// A request that an upstream served.
struct ServedJob {
  Duration arrival{};
  Duration wait{};   ///< In the queue of the upstream.
  Duration delay{};  ///< From the arrival to the start of its processing.
  Duration total{};  ///< From the arrival to the end of its processing.
};

/// Result of one policy on one workload. Without units: numbers of requests.
struct Result {
  std::string policy;
  std::vector<ServedJob> served;
  /// Busy time of each upstream over the time that its slots offer.
  std::vector<double> utilisation;
  std::vector<double> capacity;  ///< Relative speed of each upstream.
  std::uint64_t offered = 0;
  std::uint64_t shed = 0;
  std::uint64_t lost = 0;  ///< Neither served nor shed.
  std::uint64_t new_flows = 0;
  std::uint64_t new_flow_hops = 0;  ///< Frames between sidecars for new flows.
  std::uint64_t other_hops = 0;     ///< Frames between sidecars otherwise.
  std::uint64_t broken_flows = 0;   ///< Feeds that changed their upstream.

  WaitTrace trace;  ///< Of a run with the engines.

  /// @return the highest utilisation divided by the mean utilisation, which is
  /// weighted by capacity.
  double MaxOverMean() const;
  /// @param quantile 0.5 for the median.
  /// @return the quantile of the time that served requests waited.
  Duration Wait(double quantile) const;
  /// @return the quantile of the time from arrival to processing, which
  /// includes hops and challenges.
  Duration Delay(double quantile) const;
  /// @return the mean time from arrival to the end of the processing.
  Duration MeanTotal() const;
  /// Like Wait(), for the requests that arrived from `from` until before `to`.
  Duration WaitBetween(double quantile, Duration from, Duration to) const;
};

/// Prints the heading of a table of results.
void PrintHeading(const std::string& title);
/// Prints one row of the table.
void PrintLine(const Result& result);

}  // namespace cowslip::experiments
