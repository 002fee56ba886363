#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cowslip::settings {

/// How to reach the platform's store.
struct StoreSettings {
  std::vector<std::string> urls;
  std::chrono::milliseconds timeout{std::chrono::seconds(2)};
  std::string token;
};

}  // namespace cowslip::settings
