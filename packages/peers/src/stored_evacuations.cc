#include "cowslip/peers/stored_evacuations.h"

#include <algorithm>
#include <utility>

namespace cowslip::peers {

StoredKeyResult StoredEvacuations::OnListed(std::string_view key) {
  if (!key.starts_with(kKeyPrefix)) return StoredKeyResult::kOther;
  key.remove_prefix(kKeyPrefix.size());
  if (!EvacuationSnapshot::IsValidName(key)) return StoredKeyResult::kRefused;
  if (AddNames({std::string(key)}, listed_)) return StoredKeyResult::kApplied;
  overflowed_ = true;
  return StoredKeyResult::kRefused;
}

void StoredEvacuations::EndList(const StorePosition& first) {
  // A watch that was answered meanwhile is ahead of the list.
  const bool overtaken = known_ && first < snapshot_.position;
  if (overtaken) return;
  snapshot_ = {first, std::exchange(listed_, {})};
  overflowed_ = overflowed_ && !has_room();
  known_ = true;
}

StoredKeyResult StoredEvacuations::OnChange(std::string_view key, bool removed,
                                            const StorePosition& changed) {
  if (!key.starts_with(kKeyPrefix)) return StoredKeyResult::kOther;
  // A list that was answered meanwhile includes the change.
  if (!known_ || changed <= snapshot_.position) {
    return StoredKeyResult::kApplied;
  }
  key.remove_prefix(kKeyPrefix.size());
  if (!EvacuationSnapshot::IsValidName(key)) return StoredKeyResult::kRefused;
  snapshot_.position = changed;
  if (removed) {
    const auto found = snapshot_.names.find(key);
    if (found != snapshot_.names.end()) snapshot_.names.erase(found);
    return StoredKeyResult::kApplied;
  }
  if (AddNames({std::string(key)}, snapshot_.names)) {
    return StoredKeyResult::kApplied;
  }
  overflowed_ = true;
  return StoredKeyResult::kRefused;
}

void StoredEvacuations::OnWatchedUpTo(const StorePosition& position) {
  if (known_) snapshot_.position = std::max(snapshot_.position, position);
}

}  // namespace cowslip::peers
