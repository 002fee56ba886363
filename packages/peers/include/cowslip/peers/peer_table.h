#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/peer_entry.h"

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
  void Remove(InstanceAddress address) { entries_.erase(address); }

  const PeerEntry* Find(InstanceAddress address) const;
  const std::map<InstanceAddress, PeerEntry>& entries() const {
    return entries_;
  }
  /// @return the balancers that have not stopped as planned.
  std::vector<InstanceAddress> Balancers() const;
  /// @return a hash that is equal for equal tables.
  /// @param balancers_only whether to leave out the sidecars.
  std::uint64_t Digest(bool balancers_only) const;

 private:
  std::map<InstanceAddress, PeerEntry> entries_;
};

}  // namespace cowslip::peers
