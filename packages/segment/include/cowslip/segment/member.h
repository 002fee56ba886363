#pragma once

#include <cstdint>

#include "cowslip/segment/frame.h"

namespace cowslip::segment {

/// An upstream of a service as a balancer knows it.
struct Member {
  InstanceAddress sidecar = 0;
  /// Its sidecar gives it new connections; the others keep their open ones.
  bool open = false;

  bool operator==(const Member&) const = default;
};

}  // namespace cowslip::segment
