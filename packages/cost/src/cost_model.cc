#include "cowslip/cost/cost_model.h"

#include <algorithm>

namespace cowslip::cost {

const CostModel::Service* CostModel::Find(const Endpoint& address) const {
  const auto found =
      std::find_if(services_.begin(), services_.end(),
                   [&](const auto& each) { return each.address == address; });
  if (found != services_.end()) return &*found;
  return services_.size() > kMaxServices ? &services_.back() : nullptr;
}

CostModel::Service& CostModel::FindOrAdd(const Endpoint& address) {
  const auto found =
      std::find_if(services_.begin(), services_.end(),
                   [&](const auto& each) { return each.address == address; });
  if (found != services_.end()) return *found;
  if (services_.size() > kMaxServices) return services_.back();
  const bool is_shared = services_.size() == kMaxServices;
  services_.push_back({is_shared ? Endpoint{} : address, {}, {}});
  return services_.back();
}

void CostModel::OnServed(const Endpoint& address, Duration service_time) {
  auto& service = FindOrAdd(address);
  service.recent.Add(service_time, loaded_time_);
  service.all.Record(service_time);
  all_.Add(service_time, loaded_time_);
}

Duration CostModel::Mean(const Endpoint& address) const {
  const auto* service = Find(address);
  if (service == nullptr || service->recent.empty()) return Mean();
  return service->recent.Mean();
}

Duration CostModel::Mean() const {
  return all_.empty() ? kInitialServiceTime : all_.Mean();
}

Duration CostModel::ExpectedRemaining(const Endpoint& address,
                                      Duration elapsed) const {
  const auto* service = Find(address);
  if (service != nullptr && !service->recent.empty()) {
    return service->recent.ExpectedRemaining(elapsed);
  }
  if (!all_.empty()) return all_.ExpectedRemaining(elapsed);
  return elapsed < kInitialServiceTime ? kInitialServiceTime - elapsed
                                       : elapsed;
}

}  // namespace cowslip::cost
