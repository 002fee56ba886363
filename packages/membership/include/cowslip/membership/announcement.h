#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/membership/membership_error.h"

namespace cowslip::membership {

using WallTime = std::chrono::system_clock::time_point;

/// What a sidecar writes to the store about its upstream.
struct Announcement {
  Upstream upstream;
  WallTime started{};  ///< Start of the incarnation; replaces upstream.joined.
  bool dead = false;   ///< Recorded by a peer that confirmed the death.
  /// Drawn at random by the process that wrote it; tells its own lost write
  /// from that of another process with the same upstream id.
  std::uint64_t writer = 0;
};

/// @return the store key below which all announcements stand.
std::string_view AnnouncementPrefix();

/// @return the store key of one upstream.
std::string AnnouncementKey(ServiceId service, UpstreamId id);

/// @return JSON.
std::string EncodeAnnouncement(const Announcement& announcement);

std::optional<Announcement> DecodeAnnouncement(
    std::string_view json, LastReason<MembershipError>& reason);

/// Converts the age of the incarnation to the local monotonic clock.
TimePoint JoinTime(WallTime started, WallTime wall_now, TimePoint now);

}  // namespace cowslip::membership
