#pragma once

#include <cstdint>
#include <span>

#include "cowslip/base.h"

namespace cowslip::flow {

/// Limits that decide which upstreams may own a flow unknown to its first.
struct LookupLimits {
  Duration join_window{};  ///< A join younger than this may have moved flows.
  Duration clock_skew{};   ///< Joins closer than this count as simultaneous.
};

/// What the upstream that holds a frame knows about another one.
enum class LookupState : std::uint8_t {
  kUnvisited,
  kSelf,
  kSkipped,  ///< Was asked already, or doesn't answer.
};

/// Finds the next upstream to ask for the owner of an unknown flow.
///
/// The walk visits the upstreams that ranked first at some moment of the recent
/// window: each one ranked ahead of this one, then each later one that joined
/// before this one, unless this one joined before the window. In a steady state
/// that is the top alone. An upstream that was asked already has judged its own
/// age, which it knows best, and went on. See docs/DESIGN.md, "Walks".
///
/// @param order all upstreams, first-ranked first.
/// @param own_joined start of the incarnation that holds the frame.
/// @param place_of LookupState of an Upstream.
/// @return the next upstream to ask, or nullptr when the walk is complete.
template <typename PlaceOf>
const Upstream* NextLookupTarget(std::span<const Upstream* const> order,
                                 const LookupLimits& window,
                                 TimePoint own_joined, TimePoint now,
                                 const PlaceOf& place_of) {
  bool passed_self = false;
  for (const auto* upstream : order) {
    const auto place = place_of(*upstream);
    if (place == LookupState::kSelf) {
      if (now - own_joined >= window.join_window) return nullptr;
      passed_self = true;
    } else if (place == LookupState::kUnvisited) {
      if (!passed_self) return upstream;
      if (upstream->joined < own_joined + window.clock_skew) return upstream;
    }
  }
  return nullptr;
}

}  // namespace cowslip::flow
