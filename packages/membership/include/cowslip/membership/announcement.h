#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/membership/membership_error.h"

namespace cowslip::membership {

/// Wall-clock time, as it is written to the store.
using WallTime = std::chrono::system_clock::time_point;

/// Record of an upstream in the store, written by its sidecar. Other processes
/// build their views from these records.
struct Announcement {
  Upstream upstream;
  WallTime started{};  ///< Start of the incarnation; upstream.joined is unused.
  bool dead = false;   ///< Set by a member that confirmed the death.
  /// Random number of the process that wrote the record. If the result of a
  /// write was lost, it shows whether this process or another one with the same
  /// upstream id made the write.
  std::uint64_t writer = 0;
};

/// @return the prefix of the store keys of all announcements.
std::string_view AnnouncementPrefix();

/// @return the store key of the announcement of one upstream.
std::string AnnouncementKey(ServiceId service, UpstreamId id);

/// @return the announcement as JSON.
std::string EncodeAnnouncement(const Announcement& announcement);

/// @return std::nullopt if the text is not an announcement in JSON.
std::optional<Announcement> DecodeAnnouncement(
    std::string_view json, LastReason<MembershipError>& reason);

/// Converts the start of an incarnation from wall-clock time to the local
/// monotonic clock; a start in the future becomes `now`.
TimePoint JoinTime(WallTime started, WallTime wall_now, TimePoint now);

/// @return an incarnation for a process that claims an upstream now: above
///     `previous`, and above all that were claimed earlier by the clock, also
///     if the store has lost them. At least the milliseconds since the epoch.
Incarnation NextIncarnation(Incarnation previous, WallTime now);

}  // namespace cowslip::membership
