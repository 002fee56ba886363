#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "cowslip/base/endpoint.h"

namespace cowslip::standin {

/// How an upstream serves.
struct UpstreamOptions {
  Endpoint listen;
  std::string name;
  std::string service;
  /// File that receives a line for each run, empty for none.
  std::string journal;
  std::chrono::milliseconds service_time{0};
  /// Runs in progress at once.
  std::size_t slots = 1;
  std::chrono::milliseconds feed_interval{0};
};

}  // namespace cowslip::standin
