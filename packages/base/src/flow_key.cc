#include "cowslip/base/flow_key.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace cowslip {

std::uint64_t HashFlow(const FlowKey& key, std::uint64_t seed) {
  const std::array<std::uint32_t, 3> words{
      key.caller.address, key.service.address,
      (std::uint32_t{key.caller.port} << 16) | key.service.port};
  return XXH3_64bits_withSeed(words.data(), sizeof words, seed);
}

}  // namespace cowslip
