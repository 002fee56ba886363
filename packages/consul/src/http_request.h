#pragma once

#include <chrono>
#include <string_view>

namespace cowslip::consul {

/// One request to the store.
struct HttpRequest {
  std::string_view method;
  /// Path and query, percent-encoded.
  std::string_view target;
  std::string_view body;
  /// Time limit from the start of the request to the complete response.
  std::chrono::milliseconds timeout{};
};

}  // namespace cowslip::consul
