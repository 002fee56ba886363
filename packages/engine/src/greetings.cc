#include "cowslip/engine/greetings.h"

namespace cowslip::engine {

void Greetings::OnView(const membership::View& view) {
  std::map<UpstreamId, Incarnation> present;
  for (const auto& [id, service] : view.services()) {
    for (const auto& upstream : service->upstreams) {
      present[upstream.id] = upstream.incarnation;
      const auto found = known_.find(upstream.id);
      if (found != known_.end() && found->second == upstream.incarnation) {
        continue;
      }
      pending_[upstream.id] = {id, {}, 0};
    }
  }
  known_ = std::move(present);
}

void Greetings::OnHeard(UpstreamId id) { pending_.erase(id); }

}  // namespace cowslip::engine
