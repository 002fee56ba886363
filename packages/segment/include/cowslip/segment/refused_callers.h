#pragma once

#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "cowslip/base.h"

namespace cowslip::segment {

/// Callers whose SYNs a balancer has refused lately.
///
/// Load pattern: callers that were refused try again at once. Without a memory
/// of them, chance refuses some callers until their last attempt while others
/// are served at their first.
class RefusedCallers {
 public:
  /// Time for which a refused caller is remembered.
  static constexpr std::chrono::milliseconds kLifetime{500};
  /// Time in which a caller is not refused again while a member has capacity.
  static constexpr std::chrono::milliseconds kProtection{200};
  static constexpr std::size_t kCapacity = 4096;

  /// A SYN was refused. Beyond the capacity, the oldest entries make room.
  void Add(const FlowKey& flow, TimePoint now);
  /// @return whether a caller of the same address and route was refused within
  /// a time.
  bool WasRefused(const FlowKey& flow, Duration within, TimePoint now) const;
  std::size_t size() const { return refused_.size(); }

 private:
  /// Source address of a caller and service address of a route, as a flow
  /// without a source port.
  static FlowKey KeyOf(const FlowKey& flow) {
    return {{flow.caller.address, 0}, flow.service};
  }
  void MakeRoom(TimePoint now);

  std::unordered_map<FlowKey, TimePoint, FlowKeyHash> refused_;
};

}  // namespace cowslip::segment
