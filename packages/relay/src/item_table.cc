#include "cowslip/relay/item_table.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cowslip::relay {
namespace {

void SortByPosition(std::vector<StoreEntry>& items) {
  std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) {
    return std::tie(a.position, a.key) < std::tie(b.position, b.key);
  });
}

}  // namespace

bool StoreReplica::Apply(const StoreEntry& entry) {
  position_ = std::max(position_, entry.position);
  auto& held = items_[entry.key];
  if (held.position >= entry.position) return false;
  held = entry;
  return true;
}

std::vector<StoreEntry> StoreReplica::ApplyListing(
    std::vector<StoreEntry> listing, const StorePosition& as_of) {
  std::set<std::string> listed;
  for (auto& entry : listing) {
    entry.position.era = as_of.era;
    listed.insert(entry.key);
  }
  for (const auto& [key, held] : items_) {
    const bool deleted = !listed.contains(key) && !held.value.empty();
    if (deleted && held.position < as_of) listing.push_back({key, "", as_of});
  }
  SortByPosition(listing);
  std::erase_if(listing,
                [this](const StoreEntry& entry) { return !Apply(entry); });
  position_ = std::max(position_, as_of);
  return listing;
}

std::vector<StoreEntry> StoreReplica::ChangesSince(
    const StorePosition& position, const Subscription& interest) const {
  std::vector<StoreEntry> newer;
  for (const auto& [key, entry] : items_) {
    if (entry.position > position && interest.Matches(entry)) {
      newer.push_back(entry);
    }
  }
  SortByPosition(newer);
  return newer;
}

}  // namespace cowslip::relay
