#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

enum class MergeResult : std::uint8_t {
  kKnown,    ///< Nothing new.
  kChanged,  ///< A newer word of the same start.
  kStarted,  ///< A new instance, or a new start of a known one.
};

/// The instances that are known, one entry for each address.
class PeerTable {
 public:
  MergeResult Merge(const PeerEntry& entry);
  /// The store says that an instance is gone.
  void Remove(InstanceAddress address) { entries_.erase(address); }

  const PeerEntry* Find(InstanceAddress address) const;
  const std::map<InstanceAddress, PeerEntry>& entries() const {
    return entries_;
  }
  /// @return balancers that have not left.
  std::vector<InstanceAddress> Balancers() const;
  /// @return a value that is equal for equal tables.
  /// @param balancers_only leaves sidecars out.
  std::uint64_t Digest(bool balancers_only) const;

 private:
  std::map<InstanceAddress, PeerEntry> entries_;
};

}  // namespace cowslip::peers
