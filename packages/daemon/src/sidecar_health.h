#pragma once

#include <atomic>

#include "cowslip/daemon/http_face.h"
#include "cowslip/daemon/sidecar_loop.h"

namespace cowslip::daemon {

/// Adds to the health of an instance whether its incarnation may take work.
class SidecarHealth {
 public:
  /// The incarnation was claimed and the loop is there.
  void SetLoop(const SidecarLoop* loop) { loop_ = loop; }

  Health Judge(const Health& instance) const {
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
