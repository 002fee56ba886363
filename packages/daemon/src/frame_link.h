#pragma once

#include <optional>

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/link.h"

namespace cowslip::daemon {

/// What a traffic thread sends and receives frames with.
struct FrameLink {
  link::FrameCodec codec;
  link::DatagramSocket socket;

  /// @return std::nullopt if the address can't be bound.
  static std::optional<FrameLink> Open(const link::FrameKey& key,
                                       const Endpoint& local,
                                       LastReason<DaemonError>& reason);
};

}  // namespace cowslip::daemon
