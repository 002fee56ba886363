#pragma once

#include <optional>
#include <vector>

#include "cowslip/engine/effects.h"
#include "cowslip/flow.h"
#include "cowslip/membership.h"

namespace cowslip::engine {

/// Effect: send a datagram to the upstream, on the socket of the flow, which is
/// opened on demand.
struct SendToUpstream {
  flow::FlowSlot slot{};
  ByteView payload;
};

/// Effect: close the socket of a flow that has ended.
struct CloseUpstream {
  flow::FlowSlot slot{};
};

/// Output buffer of Sidecar: the effects that the caller is to execute, closes
/// before datagrams.
struct SidecarEffects {
  std::vector<SendFrame> frames;
  std::vector<CloseUpstream> closes;
  std::vector<SendToUpstream> datagrams;
  std::vector<FetchTicket> fetches;
  std::vector<membership::RecordDeath> deaths;  ///< To write to the store.
  /// If set: read the announcement of this sidecar from the store, then call
  /// Sidecar::OnLeaseConfirmed(), OnSuperseded() or BeginIncarnation().
  std::optional<membership::LeaseCheckId> lease_check;
  /// If set: announce this state of the upstream.
  std::optional<UpstreamState> announcement;
  /// If set: send this to the upstream, on a socket that no flow uses.
  std::optional<ByteView> upstream_probe;
  Scratch scratch;  ///< Owns generated payloads.

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
