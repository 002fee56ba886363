#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// The upstream of a sidecar, as the sidecar's process knows it.
struct ServedUpstream {
  std::uint64_t incarnation = 0;  ///< As in PeerEntry::upstream.
  /// Time from the start of the upstream to that of the process, negative if
  /// the process is older.
  std::chrono::milliseconds lead{};
};

/// What a sidecar that has just started knows of the earlier processes of its
/// instance, which may have placed flows at the upstream.
class PredecessorRecord {
 public:
  /// Handles the entry that the store held, std::nullopt if there was none.
  void OnStored(const std::optional<PeerEntry>& entry);
  /// @param from_peers entry of an earlier process that peers have sent.
  /// @param era newest era of the store that is known.
  /// @return whether an earlier process may have served the upstream, also if
  ///     the store has lost its entry or its last change.
  bool MayHaveServed(const ServedUpstream& upstream,
                     const std::optional<PeerEntry>& from_peers,
                     std::uint64_t era) const;

 private:
  bool known_ = false;  ///< The store has been asked.
  std::optional<PeerEntry> stored_;
};

}  // namespace cowslip::peers
