#include "cowslip/engine/hello_scheduler.h"

#include <utility>

namespace cowslip::engine {

std::vector<UpstreamId> HelloScheduler::Update(const membership::View& view) {
  std::vector<UpstreamId> changed;
  std::map<UpstreamId, Known> present;
  for (const auto& [service, entry] : view.services()) {
    for (const auto& upstream : entry->upstreams) {
      present[upstream.id] = {upstream.incarnation, service};
      const auto old = known_.find(upstream.id);
      const bool same = old != known_.end() &&
                        old->second.incarnation == upstream.incarnation;
      if (old != known_.end()) known_.erase(old);
      if (same) continue;
      pending_[upstream.id] = {service, {}, 0};
      changed.push_back(upstream.id);
    }
  }
  for (const auto& [id, removed] : known_) changed.push_back(id);
  known_ = std::move(present);
  return changed;
}

ServiceId HelloScheduler::ServiceOf(UpstreamId id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? ServiceId{} : found->second.service;
}

void HelloScheduler::OnAnswered(UpstreamId id) { pending_.erase(id); }

}  // namespace cowslip::engine
