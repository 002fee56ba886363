#pragma once

#include <map>
#include <string>
#include <vector>

#include "cowslip/relay/item.h"

namespace cowslip::relay {

/// Replica of the store: the latest entry of every selected key, deleted keys
/// included.
///
/// Every source delivers entries in the order of their positions. So a replica
/// with position() X holds the state of every selected key as of X or later,
/// and a process that changes its source sends X and receives only later
/// entries. A replica has no record of keys that were deleted before its first
/// listing. Therefore a key may be deleted from the store only a long time
/// after its record was marked dead: otherwise a peer that still holds the
/// record as alive sends it to other processes.
class StoreReplica {
 public:
  /// Stores an entry unless the replica has a newer one for its key.
  /// @return whether the entry was stored.
  bool Apply(const StoreEntry& entry);
  /// Stores a full listing of the store as of a position; keys that are missing
  /// from it are marked as deleted. The entries take over the era.
  /// @return the entries that changed, in the order of their positions.
  std::vector<StoreEntry> ApplyListing(std::vector<StoreEntry> listing,
                                       const StorePosition& as_of);
  /// @return the selected entries that were written after a position, in order.
  std::vector<StoreEntry> ChangesSince(const StorePosition& position,
                                       const Subscription& interest) const;

  /// @return the highest position of any entry or listing stored.
  const StorePosition& position() const { return position_; }
  const std::map<std::string, StoreEntry>& items() const { return items_; }

 private:
  std::map<std::string, StoreEntry> items_;
  StorePosition position_;
};

}  // namespace cowslip::relay
