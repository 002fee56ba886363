#pragma once

#include <algorithm>
#include <span>

#include "cowslip/base.h"

namespace cowslip::flow {

/// Limits that decide which upstreams may own a flow unknown to its first.
struct WalkWindow {
  Duration recent{};      ///< A join younger than this may have moved flows.
  Duration clock_skew{};  ///< Joins closer than this count as simultaneous.
};

/// Finds the next upstream to ask for the owner of an unknown flow.
///
/// The walk visits the upstreams that ranked first at some moment of the recent
/// window: the top of the order, then each later one that joined before all of
/// those ahead of it, until one that joined before the window. In steady state
/// that is the top alone. See docs/DESIGN.md, "Walks".
///
/// @param order all upstreams, first-ranked first.
/// @param seen predicate: the upstream was asked already, or is the caller.
/// @return the next upstream to ask, or nullptr when the walk is complete.
template <typename Seen>
const Upstream* NextOnWalk(std::span<const Upstream* const> order,
                           const WalkWindow& window, TimePoint now,
                           const Seen& seen) {
  auto earliest = TimePoint::max();
  for (const auto* upstream : order) {
    const bool candidate = earliest == TimePoint::max() ||
                           upstream->joined < earliest + window.clock_skew;
    if (!candidate) continue;
    if (!seen(*upstream)) return upstream;
    earliest = std::min(earliest, upstream->joined);
    if (now - earliest >= window.recent) return nullptr;
  }
  return nullptr;
}

}  // namespace cowslip::flow
