#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cowslip::testing {

/// One service of a ticket.
struct ServiceOptions {
  int id = 1;
  /// Empty for "service-ID".
  std::string name{};
  /// Number of its VIP in the site.
  int vip = 1;
  std::string protocol = "coap";
  std::string prefer = "continuity";
  std::string idle_timeout = "60s";
  std::string request_timeout = "20s";
  int max_flows = 2000;
  int max_queue = 16;
};

/// Size and settings of a deployment.
struct DeploymentOptions {
  /// Seed of the fabric's random choices.
  std::uint64_t seed = 1;
  int balancers = 3;
  int upstreams_per_service = 2;
  /// Number of balancers that are listed as peers in the settings of each
  /// daemon.
  int peers = 0;
  int slots = 7;
  std::string drain_timeout = "10s";
  /// Services of ticket 1; sidecar and upstream n of service s have the id
  /// 10 * s + n.
  std::vector<ServiceOptions> services{{}};
  /// Further options of each standin-upstream, such as --service-ms.
  std::vector<std::string> upstream_arguments;
};

}  // namespace cowslip::testing
