#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace cowslip::settings {

/// Section "store": access to the key-value store of the platform.
struct StoreSettings {
  std::vector<std::string> urls;  ///< Of its servers, starting with http://.
  std::chrono::milliseconds timeout{std::chrono::seconds(2)};  ///< Per request.
  std::string token;  ///< Access token; may be empty.
};

}  // namespace cowslip::settings
