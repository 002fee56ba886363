#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// A service that a route sends a share of its new connections to.
struct RouteTarget {
  ServiceTag service{};
  std::uint32_t weight = 1;
};

/// Where new connections to one service address go.
struct Route {
  std::vector<RouteTarget> targets;
  /// Services that earlier versions sent it to; open connections stay there.
  std::vector<ServiceTag> former_services;

  /// @return the service of a new connection, by weight and flow hash.
  ServiceTag ChooseService(std::uint64_t flow_hash) const;
};

struct EndpointHash {
  std::size_t operator()(const Endpoint& endpoint) const {
    return HashFlow({endpoint, {}});
  }
};

/// One version of the configuration.
struct RouteTable {
  std::uint64_t version = 0;  ///< 0: none is known.
  std::unordered_map<Endpoint, Route, EndpointHash> routes;

  const Route* Find(const Endpoint& address) const;
  /// Keeps the services that open connections of the previous version use.
  void InheritFormerServices(const RouteTable& previous);
};

}  // namespace cowslip::segment
