#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cowslip::consul {

/// Addresses, time limit and credentials for calls to the store.
struct StoreClientOptions {
  /// Base URLs such as http://127.0.0.1:8500; the next one is tried if one is
  /// unavailable.
  std::vector<std::string> urls;
  /// Time limit of a call; a watch may take this much longer than it waits.
  std::chrono::milliseconds timeout{2000};
  /// Sent as X-Consul-Token unless empty.
  std::string token;
};

}  // namespace cowslip::consul
