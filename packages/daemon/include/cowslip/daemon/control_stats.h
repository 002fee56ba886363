#pragma once

#include <atomic>
#include <cstdint>

namespace cowslip::daemon {

/// Counters and state of the control thread, for metrics and status pages.
/// Written by the control thread, readable from any thread.
struct ControlStats {
  std::atomic<std::uint64_t> ticket{0};  ///< Ticket in force, 0 if none.
  std::atomic<std::uint64_t> relay_bytes_in{0};
  std::atomic<std::uint64_t> relay_bytes_out{0};
  std::atomic<std::uint64_t> store_bytes{0};
  std::atomic<std::uint64_t> store_calls{0};
  std::atomic<std::uint64_t> tickets_refused{0};
  std::atomic<std::uint64_t> streams{0};  ///< Open relay streams.
  /// Store distance: hops to a process that reads the store.
  std::atomic<std::uint64_t> depth{0};
  std::atomic<std::uint64_t> items{0};  ///< Announcements and records held.
  /// Upstreams of the services in force that accept new flows.
  std::atomic<std::uint64_t> active_upstreams{0};
  /// Whether this process itself watches the store.
  std::atomic<bool> watching{false};
  /// Whether this process reaches the store, directly or through peers.
  std::atomic<bool> store_reachable{false};
};

}  // namespace cowslip::daemon
