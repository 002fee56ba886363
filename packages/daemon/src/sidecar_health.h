#pragma once

#include <atomic>

#include "cowslip/daemon/http_server.h"
#include "cowslip/daemon/sidecar_loop.h"

namespace cowslip::daemon {

/// Health of a sidecar: that of the instance, and unhealthy while its
/// incarnation may not take work or the upstream is down.
class SidecarHealth {
 public:
  /// Call it once, after the incarnation was claimed. Callable from any thread.
  void SetLoop(const SidecarLoop* loop) { loop_ = loop; }

  /// @param instance health without the state of the sidecar.
  Health Check(const Health& instance) const {
    const auto* loop = loop_.load();
    if (loop == nullptr) {
      return {false, "no incarnation: the store has not confirmed one"};
    }
    if (loop->lease() == membership::LeaseState::kLost) {
      return {false, "superseded by another process with this upstream id"};
    }
    if (loop->lease() != membership::LeaseState::kHeld) {
      return {false, "paused: the store has not confirmed the incarnation"};
    }
    if (loop->upstream_down()) return {false, "the upstream does not answer"};
    return instance;
  }

 private:
  std::atomic<const SidecarLoop*> loop_{nullptr};
};

}  // namespace cowslip::daemon
