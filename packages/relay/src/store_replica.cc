#include "cowslip/relay/store_replica.h"

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

bool StoreReplica::Apply(const StoreEntry& item) {
  index_ = std::max(index_, item.index);
  auto& held = items_[item.key];
  if (held.index >= item.index) return false;
  held = item;
  return true;
}

std::vector<StoreEntry> StoreReplica::ApplyListing(
    std::vector<StoreEntry> listing, std::uint64_t index) {
  std::set<std::string> listed;
  for (const auto& item : listing) listed.insert(item.key);
  for (const auto& [key, held] : items_) {
    const bool gone = !listed.contains(key) && !held.value.empty();
    if (gone && held.index < index) listing.push_back({key, "", index});
  }
  SortByIndex(listing);
  std::erase_if(listing,
                [this](const StoreEntry& item) { return !Apply(item); });
  index_ = std::max(index_, index);
  return listing;
}

std::vector<StoreEntry> StoreReplica::ChangesSince(
    std::uint64_t index, const Subscription& interest) const {
  std::vector<StoreEntry> newer;
  for (const auto& [key, item] : items_) {
    if (item.index > index && interest.Matches(item)) newer.push_back(item);
  }
  SortByIndex(newer);
  return newer;
}

}  // namespace cowslip::relay
