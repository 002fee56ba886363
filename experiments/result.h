#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::experiments {

/// A request that an upstream served.
struct ServedJob {
  Duration arrival{};
  Duration wait{};
};

/// What one policy did with one workload.
struct Result {
  std::string policy;
  std::vector<ServedJob> served;
  std::vector<double> utilisation;  ///< Of each upstream, by its capacity.
  std::vector<double> capacity;     ///< Of each upstream.
  std::uint64_t offered = 0;
  std::uint64_t shed = 0;
  std::uint64_t lost = 0;  ///< Neither served nor refused.
  std::uint64_t new_flows = 0;
  std::uint64_t new_flow_hops = 0;  ///< Frames between sidecars for new flows.
  std::uint64_t other_hops = 0;     ///< And for all other requests.
  std::uint64_t broken_flows = 0;   ///< Feeds that changed their upstream.

  /// @return the largest utilisation over the mean weighted by capacity.
  double MaxOverMean() const;
  /// @param share 0.5 is the median.
  Duration Wait(double share) const;
  Duration WaitBetween(double share, Duration from, Duration to) const;
};

/// Prints a heading or one line of the table.
void PrintHeading(const std::string& title);
void PrintLine(const Result& result);

}  // namespace cowslip::experiments
