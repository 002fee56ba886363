#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cowslip::consul {

/// A complete HTTP response.
struct HttpResponse {
  int status = 0;
  std::string body;
  /// Value of the X-Consul-Index header, if there is one.
  std::optional<std::uint64_t> index;
};

}  // namespace cowslip::consul
