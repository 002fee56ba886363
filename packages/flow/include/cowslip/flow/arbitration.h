#pragma once

#include "cowslip/base.h"

namespace cowslip::flow {

/// Ages of one flow at two owners closer than this count as equal: the walks of
/// its first datagrams have crossed.
inline constexpr std::chrono::seconds kCrossingTime{2};

/// Two upstreams that own the same flow settle it by one judge, the one with
/// the lower id, so that they can't both yield.
inline bool IsJudge(UpstreamId own, UpstreamId other) { return own < other; }

/// @return whether the judge keeps the flow: the earlier adopter wins, and the
///     lower id, which is the judge's, if both adopted at about the same time.
inline bool JudgeKeeps(Duration own_age, Duration other_age) {
  return other_age <= own_age + kCrossingTime;
}

}  // namespace cowslip::flow
