#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cowslip::consul {

/// How to reach the store.
struct StoreClientOptions {
  /// Base URLs such as http://127.0.0.1:8500, tried in turn.
  std::vector<std::string> urls;
  /// Limit of one call; a watch may take this much longer than its wait.
  std::chrono::milliseconds timeout{2000};
  /// Sent as X-Consul-Token unless empty.
  std::string token;
};

}  // namespace cowslip::consul
