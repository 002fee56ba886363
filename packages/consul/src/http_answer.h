#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cowslip::consul {

/// A complete HTTP answer.
struct HttpAnswer {
  int status = 0;
  std::string body;
  /// X-Consul-Index, if the answer carries one.
  std::optional<std::uint64_t> index;
};

}  // namespace cowslip::consul
