#pragma once

#include <atomic>
#include <cstdint>

namespace cowslip::daemon {

/// What the control thread has done so far and how it stands; written by it
/// and read by any thread.
struct ControlStats {
  std::atomic<std::uint64_t> ticket{0};
  std::atomic<std::uint64_t> relay_bytes_in{0};
  std::atomic<std::uint64_t> relay_bytes_out{0};
  std::atomic<std::uint64_t> store_bytes{0};
  std::atomic<std::uint64_t> store_calls{0};
  std::atomic<std::uint64_t> tickets_refused{0};
  std::atomic<std::uint64_t> links{0};
  std::atomic<std::uint64_t> depth{0};
  std::atomic<std::uint64_t> items{0};
  std::atomic<bool> watching{false};
  std::atomic<bool> store_reachable{false};
};

}  // namespace cowslip::daemon
