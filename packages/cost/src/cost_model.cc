#include "cowslip/cost/cost_model.h"

namespace cowslip::cost {

void CostModel::OnServed(const Endpoint& address, Duration service_time) {
  auto& service = services_.FindOrAdd(address);
  service.recent.Add(service_time, loaded_time_);
  service.all.Record(service_time);
  all_.Add(service_time, loaded_time_);
}

Duration CostModel::Mean(const Endpoint& address) const {
  const auto* service = services_.Find(address);
  if (service == nullptr || service->recent.empty()) return Mean();
  return service->recent.Mean();
}

Duration CostModel::Mean() const {
  return all_.empty() ? kInitialServiceTime : all_.Mean();
}

Duration CostModel::ExpectedRemaining(const Endpoint& address,
                                      Duration elapsed) const {
  const auto* service = services_.Find(address);
  if (service != nullptr && !service->recent.empty()) {
    return service->recent.ExpectedRemaining(elapsed);
  }
  if (!all_.empty()) return all_.ExpectedRemaining(elapsed);
  return elapsed < kInitialServiceTime ? kInitialServiceTime - elapsed
                                       : elapsed;
}

}  // namespace cowslip::cost
