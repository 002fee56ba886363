#pragma once

#include <map>
#include <string>
#include <vector>

#include "cowslip/relay/item.h"

namespace cowslip::relay {

/// Replica of the store: the latest entry of every selected key, deleted keys
/// included.
///
/// Every source delivers entries in the order of their indexes. So a replica
/// with index() X holds the state of every selected key as of X or later, and a
/// process that changes its source sends X and receives only later entries. A
/// replica has no record of keys that were deleted before its first listing.
/// Therefore a key may be deleted from the store only a long time after its
/// record was marked dead: otherwise a peer that still holds the record as
/// alive sends it to other processes.
class StoreReplica {
 public:
  /// Stores an entry unless the replica has a newer one for its key.
  /// @return whether the entry was stored.
  bool Apply(const StoreEntry& entry);
  /// Stores a full listing of the store as of an index; keys that are missing
  /// from it are marked as deleted.
  /// @return the entries that changed, in index order.
  std::vector<StoreEntry> ApplyListing(std::vector<StoreEntry> listing,
                                       std::uint64_t index);
  /// @return the selected entries that were written after an index, in index
  ///     order.
  std::vector<StoreEntry> ChangesSince(std::uint64_t index,
                                       const Subscription& interest) const;

  /// @return the highest index of any entry or listing stored.
  std::uint64_t index() const { return index_; }
  const std::map<std::string, StoreEntry>& items() const { return items_; }

 private:
  std::map<std::string, StoreEntry> items_;
  std::uint64_t index_ = 0;
};

}  // namespace cowslip::relay
