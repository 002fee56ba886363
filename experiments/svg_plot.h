#pragma once

#include <string>
#include <vector>

#include "experiments/result.h"

namespace cowslip::experiments {

/// The results of all policies on one deployment.
struct Group {
  std::string name;
  std::vector<Result> results;
};

/// Writes a bar chart of the 99th percentile of the waiting time, on a
/// logarithmic scale.
/// @return false if the file can't be written.
bool WriteWaitPlot(const std::string& file, const std::vector<Group>& groups);

}  // namespace cowslip::experiments
