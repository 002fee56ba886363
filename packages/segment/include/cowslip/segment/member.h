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
  /// DataCenterTag() of its data centre, 0 if it is not known.
  std::uint64_t data_center = 0;
  /// Newest form of frames that it understands, see kFrameVersion.
  std::uint8_t frame_version = 0;

  bool operator==(const Member&) const = default;
};

}  // namespace cowslip::segment
