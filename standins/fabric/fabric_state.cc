#include "standins/fabric/fabric_state.h"

namespace cowslip::standin {

void FabricState::SetBalancer(std::uint32_t address, bool enabled) {
  const std::lock_guard lock(mutex_);
  balancers_.Set(address, enabled);
}

std::optional<Endpoint> FabricState::PickBalancer(const Endpoint& vip) {
  const std::lock_guard lock(mutex_);
  return balancers_.PickRandom(vip);
}

bool FabricState::IsReplyFrom(const Endpoint& source, const Endpoint& vip) {
  const std::lock_guard lock(mutex_);
  return balancers_.IsReplyFrom(source, vip);
}

FaultSettings FabricState::faults() {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void FabricState::SetFaults(const FaultSettings& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

}  // namespace cowslip::standin
