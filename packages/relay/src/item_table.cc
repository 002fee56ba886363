#include "cowslip/relay/item_table.h"

#include <algorithm>
#include <set>

namespace cowslip::relay {
namespace {

void SortByIndex(std::vector<Item>& items) {
  std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) {
    return std::pair(a.index, a.key) < std::pair(b.index, b.key);
  });
}

}  // namespace

bool ItemTable::Apply(const Item& entry) {
  index_ = std::max(index_, entry.index);
  auto& held = items_[entry.key];
  if (held.index >= entry.index) return false;
  held = entry;
  return true;
}

std::vector<Item> ItemTable::ApplyListing(std::vector<Item> listing,
                                          std::uint64_t index) {
  std::set<std::string> listed;
  for (const auto& entry : listing) listed.insert(entry.key);
  for (const auto& [key, held] : items_) {
    const bool deleted = !listed.contains(key) && !held.value.empty();
    if (deleted && held.index < index) listing.push_back({key, "", index});
  }
  SortByIndex(listing);
  std::erase_if(listing, [this](const Item& entry) { return !Apply(entry); });
  index_ = std::max(index_, index);
  return listing;
}

std::vector<Item> ItemTable::Since(std::uint64_t index,
                                   const Interest& interest) const {
  std::vector<Item> newer;
  for (const auto& [key, entry] : items_) {
    if (entry.index > index && interest.Covers(entry)) newer.push_back(entry);
  }
  SortByIndex(newer);
  return newer;
}

}  // namespace cowslip::relay
