#include "cowslip/membership/view.h"

#include <algorithm>

namespace cowslip::membership {

const Upstream* ServiceView::Find(UpstreamId id) const {
  const auto found =
      std::lower_bound(upstreams.begin(), upstreams.end(), id,
                       [](const Upstream& upstream, UpstreamId key) {
                         return upstream.id < key;
                       });
  return found != upstreams.end() && found->id == id ? &*found : nullptr;
}

std::size_t View::EndpointHash::operator()(const Endpoint& endpoint) const {
  return HashFlow({endpoint, {}});
}

View::View(std::uint64_t epoch, const ticket::TicketState& state,
           std::vector<Upstream> upstreams, const std::vector<Upstream>& dead)
    : epoch_(epoch), ticket_(state.number()) {
  for (const auto& upstream : dead) {
    dead_[upstream.id] = upstream.incarnation;
  }
  std::sort(upstreams.begin(), upstreams.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  std::map<ServiceId, std::vector<Upstream>> by_service;
  for (auto& upstream : upstreams) {
    by_service[upstream.service].push_back(std::move(upstream));
  }
  for (const auto& [id, service] : state.services()) {
    auto entry = std::make_shared<ServiceView>();
    entry->service = service;
    entry->upstreams = std::move(by_service[id]);
    by_address_[service.address] = entry.get();
    services_[id] = std::move(entry);
  }
}

bool View::IsRecordedDead(UpstreamId id, Incarnation incarnation) const {
  const auto found = dead_.find(id);
  return found != dead_.end() && found->second == incarnation;
}

const ServiceView* View::Find(ServiceId id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second.get();
}

const ServiceView* View::FindAddress(const Endpoint& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : found->second;
}

const Upstream* View::FindMember(UpstreamId id) const {
  for (const auto& [service_id, service] : services_) {
    const auto* upstream = service->Find(id);
    if (upstream != nullptr) return upstream;
  }
  return nullptr;
}

std::size_t View::CountActive() const {
  std::size_t active = 0;
  for (const auto& [service_id, service] : services_) {
    active += static_cast<std::size_t>(std::ranges::count(
        service->upstreams, UpstreamState::kActive,
        [](const auto& upstream) { return upstream.state; }));
  }
  return active;
}

}  // namespace cowslip::membership
