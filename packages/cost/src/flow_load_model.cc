#include "cowslip/cost/flow_load_model.h"

#include <algorithm>
#include <cmath>

namespace cowslip::cost {

using Seconds = std::chrono::duration<double>;

void FlowLoadModel::Flows::Update(TimePoint now) {
  if (updated == TimePoint{}) updated = now;
  if (now <= updated) return;
  const Seconds elapsed = now - updated;
  updated = now;
  const double factor = std::exp2(-elapsed / Seconds(kHalfLife));
  for (auto* sum : {&known, &requests, &busy_seconds, &open_seconds}) {
    *sum *= factor;
  }
  open_seconds += open * elapsed.count();
}

double FlowLoadModel::Flows::SlotsPerFlow() const {
  return open_seconds > 0 ? std::min(1.0, busy_seconds / open_seconds) : 0;
}

void FlowLoadModel::OnRequest(const Endpoint& address, std::uint32_t on_flow,
                              TimePoint now) {
  auto& flows = flows_.FindOrAdd(address);
  flows.Update(now);
  if (on_flow == 1) ++flows.open;
  if (on_flow > kManyRequests) {
    flows.requests += 1;
  } else if (on_flow == kManyRequests) {
    flows.known += 1;
    flows.requests += on_flow;
  }
}

void FlowLoadModel::OnServed(const Endpoint& address, Duration service_time,
                             TimePoint now) {
  auto& flows = flows_.FindOrAdd(address);
  flows.Update(now);
  flows.busy_seconds += Seconds(service_time).count();
}

void FlowLoadModel::OnFlowEnded(const Endpoint& address, std::uint32_t requests,
                                TimePoint now) {
  auto& flows = flows_.FindOrAdd(address);
  flows.Update(now);
  if (flows.open > 0) --flows.open;
  if (requests >= kManyRequests) return;
  flows.known += 1;
  flows.requests += requests;
}

void FlowLoadModel::Reset(TimePoint now) {
  for (auto& row : flows_.rows()) {
    row.entry.Update(now);
    row.entry.open = 0;
  }
}

bool FlowLoadModel::IsLongLived(const Endpoint& address) const {
  const auto* flows = flows_.Find(address);
  return flows != nullptr && flows->IsLongLived();
}

double FlowLoadModel::SlotsWithOneMore(const Endpoint& address, TimePoint now) {
  double slots = 0;
  for (auto& row : flows_.rows()) {
    row.entry.Update(now);
    if (row.entry.IsLongLived()) {
      slots += row.entry.open * row.entry.SlotsPerFlow();
    }
  }
  return slots + flows_.FindOrAdd(address).SlotsPerFlow();
}

}  // namespace cowslip::cost
