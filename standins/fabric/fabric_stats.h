#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace cowslip::standin {

/// Counters of the fabric, written by its thread and read by any thread.
struct FabricStats {
  std::atomic<std::uint64_t> from_callers{0};
  std::atomic<std::uint64_t> to_balancers{0};
  std::atomic<std::uint64_t> from_balancers{0};
  std::atomic<std::uint64_t> to_callers{0};
  std::atomic<std::uint64_t> lost{0};
  std::atomic<std::uint64_t> duplicated{0};
  /// Replies whose source is not a balancer's address of the service.
  std::atomic<std::uint64_t> foreign_replies{0};
  /// Datagrams from callers while no balancer was enabled.
  std::atomic<std::uint64_t> without_balancer{0};
  /// Datagrams dropped since the limit of callers or sockets was reached.
  std::atomic<std::uint64_t> without_socket{0};
  std::atomic<std::uint64_t> send_failures{0};
  std::atomic<std::uint64_t> callers{0};

  std::string ToJson() const;
};

}  // namespace cowslip::standin
