#pragma once

#include <cstdint>

namespace cowslip::consul {

/// What a client has cost the store so far.
struct StoreCallStats {
  /// HTTP requests attempted.
  std::uint64_t calls = 0;
  /// Request bytes, with headers.
  std::uint64_t bytes_out = 0;
  /// Answer bytes, with headers.
  std::uint64_t bytes_in = 0;
};

}  // namespace cowslip::consul
