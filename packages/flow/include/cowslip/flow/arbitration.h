#pragma once

#include "cowslip/base.h"

namespace cowslip::flow {

/// If two owners accepted a flow within this time, they count as having
/// accepted it at the same time: the owner lookups of its first datagrams
/// overlapped.
inline constexpr std::chrono::seconds kConcurrentAcceptWindow{2};

/// If two upstreams own the same flow, one of them, the arbiter, decides which
/// one yields, so that they can't both yield.
/// @return whether the upstream `own` is the arbiter: it has the lower id.
inline bool IsArbiter(UpstreamId own, UpstreamId other) { return own < other; }

/// @param own_age time since the arbiter accepted the flow.
/// @param other_age time since the other owner accepted it.
/// @return whether the arbiter keeps the flow: the upstream that accepted the
///     flow earlier keeps it, or the arbiter if both accepted it at the same
///     time.
inline bool ArbiterKeepsFlow(Duration own_age, Duration other_age) {
  return other_age <= own_age + kConcurrentAcceptWindow;
}

}  // namespace cowslip::flow
