#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "cowslip/base/endpoint.h"

namespace cowslip::standin {

/// Options of an upstream, from its command line.
struct UpstreamOptions {
  Endpoint listen;
  std::string name;
  std::string service;
  /// File to which each run appends a line, empty for none.
  std::string journal;
  std::chrono::milliseconds service_time{0};
  /// Maximum number of concurrent runs.
  std::size_t slots = 1;
  /// Time between two values of the feed.
  std::chrono::milliseconds feed_interval{0};
};

}  // namespace cowslip::standin
