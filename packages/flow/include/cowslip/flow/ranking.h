#pragma once

#include <limits>
#include <span>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::flow {

/// Weighted rendezvous hashing: computes the score of an upstream for a flow.
/// The upstream with the lowest score ranks first.
///
/// The score is -ln(u)/weight, where u is a hash that is uniform in (0, 1]. The
/// share of flows for which an upstream ranks first is proportional to its
/// weight, and a join or leave of an upstream only affects the flows for which
/// it ranks first. See Thaler and Ravishankar, "Using name-based mappings to
/// increase hit rates", 1998; the weighted form is an exponential race.
double RankScore(std::uint64_t flow_hash, const Upstream& upstream);

/// @param skip predicate on Upstream: whether not to choose it.
/// @return the first-ranked upstream that is not skipped, or nullptr.
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

/// The upstreams of a service in the order of rank for one flow. Reuse the
/// object for many flows, so that the buffers are allocated only once.
class Ranking {
 public:
  /// Replaces the order by that for another flow.
  void Build(std::span<const Upstream> upstreams, std::uint64_t flow_hash);
  /// @return the first-ranked upstream first; valid until the next Build().
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
