#pragma once

#include <vector>

#include "cowslip/engine/effects.h"

namespace cowslip::engine {

/// Effect: send a datagram to a caller, with the address of the service as its
/// source.
struct SendToCaller {
  FlowKey flow;
  ByteView payload;
};

/// Output buffer of Balancer: the effects that the caller is to execute. The
/// payloads are views into the event that caused them.
struct BalancerEffects {
  std::vector<SendFrame> frames;
  std::vector<SendToCaller> datagrams;
  std::vector<FetchTicket> fetches;

  /// Empties the buffer and keeps its memory.
  void Clear() {
    frames.clear();
    datagrams.clear();
    fetches.clear();
  }
};

}  // namespace cowslip::engine
