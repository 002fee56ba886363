#pragma once

#include <vector>

#include "cowslip/engine/effects.h"
#include "cowslip/flow.h"

namespace cowslip::engine {

/// Send a datagram to the upstream on the flow's own socket, opened on demand.
struct SendToUpstream {
  flow::FlowSlot slot{};
  ByteView payload;
};

/// The flow has ended: close its socket.
struct CloseUpstream {
  flow::FlowSlot slot{};
};

/// What a sidecar wants done. Closes apply before datagrams are sent.
struct SidecarEffects {
  std::vector<SendFrame> frames;
  std::vector<CloseUpstream> closes;
  std::vector<SendToUpstream> datagrams;
  std::vector<FetchTicket> fetches;
  Scratch scratch;

  /// Empties the buffer and keeps its memory.
  void Clear() {
    frames.clear();
    closes.clear();
    datagrams.clear();
    fetches.clear();
    scratch.Clear();
  }
};

}  // namespace cowslip::engine
