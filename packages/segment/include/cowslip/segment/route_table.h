#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/scheduling.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// A service that receives a share of the new connections of a route.
struct RouteTarget {
  ServiceTag service{};
  std::uint32_t weight = 1;
};

/// The services that receive the connections to one service address.
struct Route {
  std::vector<RouteTarget> targets;
  /// Services of earlier versions of the route, which keep its open
  /// connections.
  std::vector<ServiceTag> former_services;
  /// Target for the time from a caller's first packet to the answer;
  /// std::nullopt if there is none.
  std::optional<std::chrono::milliseconds> latency_target;
  /// Limit of the time from a caller's first packet to the answer; std::nullopt
  /// if there is none.
  std::optional<std::chrono::milliseconds> time_limit;
  /// Urgency of the route's requests, as in RequestClass.
  std::uint8_t priority = RequestClass::kUnknownPriority;

  /// @return whether its requests have a priority or a time limit.
  bool IsClassified() const {
    return priority != RequestClass::kUnknownPriority || time_limit.has_value();
  }
  /// @return the service of a new connection, by weight and flow hash.
  ServiceTag ChooseService(std::uint64_t flow_hash) const;
  /// @return whether connections of the route go, or went, to a service.
  bool LeadsTo(ServiceTag service) const;
};

/// Hash of a service address, for the route map.
struct EndpointHash {
  std::size_t operator()(const Endpoint& endpoint) const {
    return HashFlow({endpoint, {}});
  }
};

/// Routes of all service addresses in one version of the configuration.
struct RouteTable {
  std::uint64_t version = 0;  ///< 0 before the first configuration.
  std::unordered_map<Endpoint, Route, EndpointHash> routes;
  /// Limits of requests for upstreams that warm up, by service; 0 for those
  /// whose limit has been removed.
  std::unordered_map<ServiceTag, scheduling::RequestRate> warm_up_limits;
  /// That of all other services.
  std::optional<scheduling::RequestRate> default_warm_up_limit;

  /// @return the route of a service address, nullptr if there is none.
  const Route* Find(const Endpoint& address) const;
  /// Adds the services of the previous version to Route::former, as they own
  /// open connections.
  void InheritFormerServices(const RouteTable& previous);
  /// @return the limit of a service; std::nullopt if it has none and had none
  /// as far as this table knows.
  std::optional<scheduling::RequestRate> WarmUpLimit(ServiceTag service) const;
  /// Notes which limits of the previous version have been removed, as sidecars
  /// keep a limit until they are told of another value.
  void InheritWarmUpLimits(const RouteTable& previous);
};

}  // namespace cowslip::segment
