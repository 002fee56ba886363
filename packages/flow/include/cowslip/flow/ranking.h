#pragma once

#include <limits>
#include <span>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::flow {

/// Weighted rendezvous score of an upstream for a flow; the lowest ranks first.
///
/// -ln(u)/weight with u uniform in (0, 1], so that the share of flows that an
/// upstream wins is proportional to its weight, and a join or leave moves only
/// the flows of that upstream (Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", 1998; the weighted form is an exponential
/// race).
double RankScore(std::uint64_t flow_hash, const Upstream& upstream);

/// @param skip predicate on Upstream; skipped upstreams are not chosen.
/// @return the first-ranked upstream that isn't skipped, or nullptr.
template <typename Skip>
const Upstream* TopUpstream(std::span<const Upstream> upstreams,
                            std::uint64_t flow_hash, const Skip& skip) {
  const Upstream* top = nullptr;
  double best = std::numeric_limits<double>::infinity();
  for (const auto& upstream : upstreams) {
    const double score = RankScore(flow_hash, upstream);
    if (score < best && !skip(upstream)) {
      best = score;
      top = &upstream;
    }
  }
  return top;
}

/// The order of a service's upstreams for one flow. Reuse it: building does not
/// allocate once the buffers have grown.
class Ranking {
 public:
  void Build(std::span<const Upstream> upstreams, std::uint64_t flow_hash);
  std::span<const Upstream* const> order() const { return order_; }

 private:
  struct Scored {
    double score;
    const Upstream* upstream;
  };
  std::vector<Scored> scored_;
  std::vector<const Upstream*> order_;
};

}  // namespace cowslip::flow
