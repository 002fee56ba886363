#pragma once

#include <chrono>
#include <string_view>

namespace cowslip::consul {

/// One request to the store.
struct HttpRequest {
  std::string_view method;
  /// Path and query.
  std::string_view target;
  std::string_view body;
  /// Limit of the whole exchange.
  std::chrono::milliseconds timeout{};
};

}  // namespace cowslip::consul
