#include "cowslip/segment/unheld_flows.h"

namespace cowslip::segment {

bool UnheldFlows::Confirm(const FlowKey& flow, TimePoint now) {
  const auto found = first_.find(flow);
  if (found == first_.end()) {
    if (first_.size() < kCapacity) first_.emplace(flow, now);
    return false;
  }
  if (now - found->second > kForgetAfter) {
    found->second = now;
    return false;
  }
  return now - found->second >= kConfirmAfter;
}

void UnheldFlows::Expire(TimePoint now) {
  std::erase_if(first_, [&](const auto& entry) {
    return now - entry.second > kForgetAfter;
  });
}

}  // namespace cowslip::segment
