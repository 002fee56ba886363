#pragma once

#include <cstdint>

#include "cowslip/relay/item_table.h"
#include "cowslip/relay/listing.h"

namespace cowslip::relay {

/// Assigns eras to the listings of a store that may come back from an older
/// copy and then assigns modification indexes anew.
///
/// The store does not tell its era, so the processes count: one that reads a
/// listing which contradicts what it holds of the present era begins the next.
/// The other processes take over the higher era with the entries. A listing
/// that was read although nothing was lost only costs an exchange of all
/// entries.
class ReturnDetector {
 public:
  /// @return the era of a complete listing that this process has just read.
  std::uint64_t EraOf(const Listing& listing, const StoreReplica& replica);
  /// @return whether the last listing may have been overtaken by newer entries
  ///     from other processes, so that only another one can tell.
  bool uncertain() const { return uncertain_; }

 private:
  /// @return whether the listing is of another history than the replica.
  bool Contradicts(const Listing& listing, const StoreReplica& replica) const;

  StorePosition listed_;  ///< Of the last listing.
  /// Replica at the first listing that was behind it.
  StorePosition held_when_behind_;
  bool uncertain_ = false;
};

}  // namespace cowslip::relay
