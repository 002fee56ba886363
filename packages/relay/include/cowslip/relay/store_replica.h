#pragma once

#include <map>
#include <string>
#include <vector>

#include "cowslip/relay/store_entry.h"

namespace cowslip::relay {

/// The latest item of every key, deleted ones included.
///
/// Items are taken in the order of their indexes from each source, so a table
/// with index() X holds the latest state of every wanted key as of X, at
/// least. A process that changes its source states X and is sent what came
/// after. Deletions before the first listing that a table took are unknown to
/// it: a key may only be deleted once its record has long said that it is dead.
class StoreReplica {
 public:
  /// @return whether the item is newer than the one held for its key.
  bool Apply(const StoreEntry& item);
  /// Takes a full listing of the store as of an index; keys that are missing
  /// from it were deleted.
  /// @return what is new, in index order.
  std::vector<StoreEntry> ApplyListing(std::vector<StoreEntry> listing,
                                       std::uint64_t index);
  /// @return the items wanted after an index, in index order.
  std::vector<StoreEntry> ChangesSince(std::uint64_t index,
                                       const Subscription& interest) const;

  /// @return the highest index taken.
  std::uint64_t index() const { return index_; }
  const std::map<std::string, StoreEntry>& items() const { return items_; }

 private:
  std::map<std::string, StoreEntry> items_;
  std::uint64_t index_ = 0;
};

}  // namespace cowslip::relay
