#pragma once

#include <optional>
#include <vector>

#include "cowslip/engine/effects.h"
#include "cowslip/flow.h"
#include "cowslip/membership.h"

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
  std::vector<membership::RecordDeath> deaths;
  /// Read the own announcement, then call Sidecar::OnLeaseConfirmed(),
  /// OnSuperseded() or BeginIncarnation().
  std::optional<membership::LeaseCheckId> lease_check;
  /// Announce this state of the upstream.
  std::optional<UpstreamState> announcement;
  /// Send this to the upstream on a socket apart from those of the flows.
  std::optional<ByteView> upstream_probe;
  Scratch scratch;

  /// Empties the buffer and keeps its memory.
  void Clear() {
    frames.clear();
    closes.clear();
    datagrams.clear();
    fetches.clear();
    deaths.clear();
    lease_check.reset();
    announcement.reset();
    upstream_probe.reset();
    scratch.Clear();
  }
};

}  // namespace cowslip::engine
