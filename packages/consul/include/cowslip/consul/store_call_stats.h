#pragma once

#include <cstdint>

namespace cowslip::consul {

/// Calls and traffic that a client has caused since its creation.
struct StoreCallStats {
  /// HTTP requests, including failed ones.
  std::uint64_t calls = 0;
  /// Request bytes, with headers.
  std::uint64_t bytes_out = 0;
  /// Response bytes, with headers.
  std::uint64_t bytes_in = 0;
};

}  // namespace cowslip::consul
