#include "cowslip/peers/document_holders.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cowslip::peers {

std::vector<InstanceAddress> ChooseDocumentHolders(const PeerTable& table) {
  std::vector<std::pair<std::uint64_t, InstanceAddress>> ranked;
  for (const auto& [address, entry] : table.entries()) {
    if (entry.balancer || entry.left) continue;
    ranked.emplace_back(XXH3_64bits(&address, sizeof address), address);
  }
  const auto count = std::min(ranked.size(), kDocumentHolders);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  std::vector<InstanceAddress> holders;
  for (std::size_t i = 0; i < count; ++i) holders.push_back(ranked[i].second);
  return holders;
}

}  // namespace cowslip::peers
