#include "cowslip/segment/route_table.h"

#include <algorithm>

namespace cowslip::segment {
namespace {

void AddUnlessTarget(const std::vector<RouteTarget>& targets,
                     ServiceTag service, std::vector<ServiceTag>& former) {
  const bool is_target =
      std::any_of(targets.begin(), targets.end(),
                  [&](const auto& each) { return each.service == service; });
  if (is_target) return;
  if (std::find(former.begin(), former.end(), service) == former.end()) {
    former.push_back(service);
  }
}

}  // namespace

ServiceTag Route::ChooseService(std::uint64_t flow_hash) const {
  if (targets.empty()) return ServiceTag{};
  std::uint64_t total = 0;
  for (const auto& target : targets) total += target.weight;
  if (total == 0) return targets.front().service;
  // Uses the high bits; the low bits rank the members.
  std::uint64_t pick = (flow_hash >> 32) % total;
  for (const auto& target : targets) {
    if (pick < target.weight) return target.service;
    pick -= target.weight;
  }
  return targets.back().service;
}

bool Route::LeadsTo(ServiceTag service) const {
  return std::any_of(
             targets.begin(), targets.end(),
             [&](const auto& each) { return each.service == service; }) ||
         std::find(former_services.begin(), former_services.end(), service) !=
             former_services.end();
}

const Route* RouteTable::Find(const Endpoint& address) const {
  const auto found = routes.find(address);
  return found == routes.end() ? nullptr : &found->second;
}

void RouteTable::InheritFormerServices(const RouteTable& previous) {
  for (auto& [address, route] : routes) {
    const auto* previous_route = previous.Find(address);
    if (previous_route == nullptr) continue;
    for (const auto& target : previous_route->targets) {
      AddUnlessTarget(route.targets, target.service, route.former_services);
    }
    for (const auto& service : previous_route->former_services) {
      AddUnlessTarget(route.targets, service, route.former_services);
    }
  }
}

std::optional<scheduling::RequestRate> RouteTable::WarmUpLimit(
    ServiceTag service) const {
  const auto found = warm_up_limits.find(service);
  return found == warm_up_limits.end() ? default_warm_up_limit : found->second;
}

void RouteTable::InheritWarmUpLimits(const RouteTable& previous) {
  constexpr scheduling::RequestRate kNone;
  if (previous.default_warm_up_limit && !default_warm_up_limit) {
    default_warm_up_limit = kNone;
  }
  for (const auto& [service, limit] : previous.warm_up_limits) {
    if (!WarmUpLimit(service)) warm_up_limits.emplace(service, kNone);
  }
}

}  // namespace cowslip::segment
