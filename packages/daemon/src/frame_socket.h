#pragma once

#include <optional>

#include "cowslip/daemon/daemon_error.h"
#include "cowslip/link.h"

namespace cowslip::daemon {

/// UDP socket of a traffic thread for frames, with the codec that encodes and
/// authenticates them.
struct FrameSocket {
  link::FrameCodec codec;
  link::DatagramSocket socket;

  /// @return std::nullopt if the address can't be bound.
  static std::optional<FrameSocket> Open(const link::FrameKey& key,
                                         const Endpoint& local,
                                         LastReason<DaemonError>& reason);
};

}  // namespace cowslip::daemon
