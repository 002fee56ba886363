#include "cowslip/relay/item_table.h"

#include <algorithm>
#include <set>

namespace cowslip::relay {
namespace {

void SortByIndex(std::vector<StoreEntry>& items) {
  std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) {
    return std::pair(a.index, a.key) < std::pair(b.index, b.key);
  });
}

}  // namespace

bool StoreReplica::Apply(const StoreEntry& entry) {
  index_ = std::max(index_, entry.index);
  auto& held = items_[entry.key];
  if (held.index >= entry.index) return false;
  held = entry;
  return true;
}

std::vector<StoreEntry> StoreReplica::ApplyListing(
    std::vector<StoreEntry> listing, std::uint64_t index) {
  std::set<std::string> listed;
  for (const auto& entry : listing) listed.insert(entry.key);
  for (const auto& [key, held] : items_) {
    const bool deleted = !listed.contains(key) && !held.value.empty();
    if (deleted && held.index < index) listing.push_back({key, "", index});
  }
  SortByIndex(listing);
  std::erase_if(listing,
                [this](const StoreEntry& entry) { return !Apply(entry); });
  index_ = std::max(index_, index);
  return listing;
}

std::vector<StoreEntry> StoreReplica::ChangesSince(
    std::uint64_t index, const Subscription& interest) const {
  std::vector<StoreEntry> newer;
  for (const auto& [key, entry] : items_) {
    if (entry.index > index && interest.Matches(entry)) newer.push_back(entry);
  }
  SortByIndex(newer);
  return newer;
}

}  // namespace cowslip::relay
