#pragma once

#include "cowslip/base.h"

namespace cowslip::flow {

/// If two owners adopted a flow within this time, they count as having adopted
/// it at the same time: both adopted it while its first datagrams were
/// forwarded in search of an owner.
inline constexpr std::chrono::seconds kCrossingTime{2};

/// If two upstreams own the same flow, one of them, the arbiter, decides which
/// one yields, so that they can't both yield.
/// @return whether the upstream `own` is the arbiter: it has the lower id.
inline bool IsJudge(UpstreamId own, UpstreamId other) { return own < other; }

/// @param own_age time since the arbiter adopted the flow.
/// @param other_age time since the other owner adopted it.
/// @return whether the arbiter keeps the flow: the upstream that adopted the
///     flow earlier keeps it, or the arbiter if both adopted it at the same
///     time.
inline bool JudgeKeeps(Duration own_age, Duration other_age) {
  return other_age <= own_age + kCrossingTime;
}

}  // namespace cowslip::flow
