#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/peer_entry.h"
#include "cowslip/peers/table_digest.h"

namespace cowslip::peers {

/// What PeerTable::Merge() changed.
enum class MergeResult : std::uint8_t {
  kUnchanged,  ///< The table has this version or a newer one.
  kUpdated,    ///< A newer version of the same incarnation.
  kStarted,    ///< A new instance, or a new incarnation of a known one.
};

/// Membership table: the newest known entry of each instance, by address.
class PeerTable {
 public:
  /// Adds an entry, or replaces an older version of it.
  MergeResult Merge(const PeerEntry& entry);
  /// Removes an instance that is missing from the store.
  void Remove(InstanceAddress address);

  const PeerEntry* Find(InstanceAddress address) const;
  const std::map<InstanceAddress, PeerEntry>& entries() const {
    return entries_;
  }
  /// @return the balancers that have not stopped as planned.
  std::vector<InstanceAddress> Balancers() const;
  /// @return the digests of the table.
  /// @param balancers_only whether to leave out the sidecars.
  const TableDigest& Digest(bool balancers_only) const {
    return balancers_only ? balancer_digest_ : digest_;
  }

 private:
  void ToggleDigest(const PeerEntry& entry);

  std::map<InstanceAddress, PeerEntry> entries_;
  TableDigest digest_;
  TableDigest balancer_digest_;
};

}  // namespace cowslip::peers
