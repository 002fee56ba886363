#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "standins/fabric/balancer_set.h"
#include "standins/fabric/fabric_stats.h"
#include "standins/fabric/fault_settings.h"

namespace cowslip::standin {

/// State shared by the traffic thread and the control API. Thread-safe.
class FabricState {
 public:
  FabricState(std::uint64_t seed, const FaultSettings& faults)
      : balancers_(seed), faults_(faults) {}

  void SetBalancer(std::uint32_t address, bool enabled);
  std::optional<Endpoint> PickBalancer(const Endpoint& vip);
  bool IsReplyFrom(const Endpoint& source, const Endpoint& vip);

  FaultSettings faults();
  void SetFaults(const FaultSettings& faults);

  FabricStats& stats() { return stats_; }

 private:
  std::mutex mutex_;
  BalancerSet balancers_;
  FaultSettings faults_;
  FabricStats stats_;
};

}  // namespace cowslip::standin
