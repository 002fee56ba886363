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

bool ItemTable::Apply(const Item& item) {
  index_ = std::max(index_, item.index);
  auto& held = items_[item.key];
  if (held.index >= item.index) return false;
  held = item;
  return true;
}

std::vector<Item> ItemTable::ApplyListing(std::vector<Item> listing,
                                          std::uint64_t index) {
  std::set<std::string> listed;
  for (const auto& item : listing) listed.insert(item.key);
  for (const auto& [key, held] : items_) {
    const bool deleted = !listed.contains(key) && !held.value.empty();
    if (deleted && held.index < index) listing.push_back({key, "", index});
  }
  SortByIndex(listing);
  std::erase_if(listing, [this](const Item& item) { return !Apply(item); });
  index_ = std::max(index_, index);
  return listing;
}

std::vector<Item> ItemTable::Since(std::uint64_t index,
                                   const Interest& interest) const {
  std::vector<Item> newer;
  for (const auto& [key, item] : items_) {
    if (item.index > index && interest.Covers(item)) newer.push_back(item);
  }
  SortByIndex(newer);
  return newer;
}

}  // namespace cowslip::relay
