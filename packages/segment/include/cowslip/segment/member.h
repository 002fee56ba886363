#pragma once

#include <cstdint>

#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// A member of a service in a balancer's member list: an upstream, given by its
/// sidecar.
struct Member {
  InstanceAddress sidecar = 0;
  /// Accepts new connections. Other members keep their open connections.
  bool open = false;

  bool operator==(const Member&) const = default;
};

}  // namespace cowslip::segment
