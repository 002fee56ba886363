#pragma once

#include <vector>

#include "cowslip/engine/effects.h"

namespace cowslip::engine {

/// Send a datagram to a caller, from the service's address.
struct SendToCaller {
  FlowKey flow;
  ByteView payload;
};

/// What a balancer wants done; payloads view the event that caused them.
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
