#include "cowslip/flow/ranking.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace cowslip::flow {

double RankScore(std::uint64_t flow_hash, const Upstream& upstream) {
  constexpr int kMantissaBits = 53;
  constexpr double kUnit = 1.0 / (std::uint64_t{1} << kMantissaBits);
  const std::array<std::uint64_t, 2> words{flow_hash, Raw(upstream.id)};
  const std::uint64_t hash = XXH3_64bits(words.data(), sizeof words);
  const auto mantissa = (hash >> (64 - kMantissaBits)) + 1;
  return -std::log(static_cast<double>(mantissa) * kUnit) / upstream.weight;
}

void Ranking::Build(std::span<const Upstream> upstreams,
                    std::uint64_t flow_hash) {
  scored_.clear();
  for (const auto& upstream : upstreams) {
    scored_.push_back({RankScore(flow_hash, upstream), &upstream});
  }
  std::sort(scored_.begin(), scored_.end(),
            [](const auto& a, const auto& b) { return a.score < b.score; });
  order_.clear();
  for (const auto& entry : scored_) order_.push_back(entry.upstream);
}

}  // namespace cowslip::flow
