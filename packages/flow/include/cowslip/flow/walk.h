#pragma once

#include <cstdint>
#include <span>

#include "cowslip/base.h"

namespace cowslip::flow {

/// Time limits that decide which upstreams may own a flow that the first-ranked
/// upstream does not have.
struct LookupLimits {
  Duration join_window{};  ///< A join younger than this may have moved flows.
  Duration clock_skew{};   ///< Joins closer than this count as simultaneous.
};

/// State of an upstream in an owner lookup, as seen by the sidecar that has
/// received the frame.
enum class LookupState : std::uint8_t {
  kUnvisited,  ///< The frame has not visited it yet.
  kSelf,       ///< The upstream of this sidecar.
  kSkipped,    ///< The frame has visited it, or it is unresponsive.
};

/// Owner lookup: finds the upstream to which a frame of an unknown flow is
/// forwarded next, in order to find the owner of the flow. Each sidecar that
/// receives the frame and does not own the flow calls this function again.
///
/// The lookup visits the upstreams that ranked first at any time within the
/// window: each one that ranks before this one, then, if this one joined within
/// the window, each one that ranks after it and joined before it. Without
/// recent joins that is the first-ranked upstream alone. A visited upstream
/// is skipped: its own sidecar, which has its exact age, has already continued
/// the lookup. See docs/DESIGN.md, "Owner lookup".
///
/// @param order all upstreams, first-ranked first.
/// @param own_joined start of the incarnation that has received the frame.
/// @param state_of function from an Upstream to its LookupState.
/// @return the next upstream, or nullptr when the lookup is complete.
template <typename PlaceOf>
const Upstream* NextLookupTarget(std::span<const Upstream* const> order,
                                 const LookupLimits& window,
                                 TimePoint own_joined, TimePoint now,
                                 const PlaceOf& state_of) {
  bool is_after_self = false;
  for (const auto* upstream : order) {
    const auto state = state_of(*upstream);
    if (state == LookupState::kSelf) {
      if (now - own_joined >= window.join_window) return nullptr;
      is_after_self = true;
    } else if (state == LookupState::kUnvisited) {
      if (!is_after_self) return upstream;
      if (upstream->joined < own_joined + window.clock_skew) return upstream;
    }
  }
  return nullptr;
}

}  // namespace cowslip::flow
