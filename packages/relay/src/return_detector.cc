#include "cowslip/relay/return_detector.h"

#include <algorithm>

namespace cowslip::relay {

bool ReturnDetector::Contradicts(const Listing& listing,
                                 const StoreReplica& replica) const {
  const StorePosition as_of{replica.position().era, listing.index};
  // Successive reads of one process never go back.
  if (listed_.era == as_of.era && as_of < listed_) return true;
  // This read began when the process already held a later position.
  if (held_when_behind_.era == as_of.era && as_of < held_when_behind_) {
    return true;
  }
  return std::ranges::any_of(listing.items, [&](const StoreEntry& entry) {
    const auto held = replica.items().find(entry.key);
    if (held == replica.items().end()) return false;
    const auto& position = held->second.position;
    return position.era == as_of.era && position <= as_of &&
           entry.position.revision < position.revision;
  });
}

std::uint64_t ReturnDetector::EraOf(const Listing& listing,
                                    const StoreReplica& replica) {
  const bool returned = Contradicts(listing, replica);
  const auto era = replica.position().era + (returned ? 1 : 0);
  listed_ = {era, listing.index};
  uncertain_ = !returned && listed_ < replica.position();
  held_when_behind_ = uncertain_ ? replica.position() : StorePosition{};
  return era;
}

}  // namespace cowslip::relay
