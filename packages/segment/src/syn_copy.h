#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace cowslip::segment {

/// Time until a copy of a SYN is dropped: the caller sends the next copy then,
/// or gives up the attempt, 1.4 s after its first packet.
inline constexpr std::array<std::chrono::milliseconds, 3> kSynLifetimes{
    std::chrono::milliseconds(200), std::chrono::milliseconds(400),
    std::chrono::milliseconds(600)};
/// First interval at which a SYN is sent again while no member accepts it.
inline constexpr std::chrono::milliseconds kSynRetryInterval{40};

/// @param copy number of the SYN's copy as the caller sent it: any value, 0 for
/// the first copy.
inline std::size_t CopyIndex(std::uint32_t copy) {
  return std::min<std::size_t>(copy, kSynLifetimes.size() - 1);
}

inline std::chrono::milliseconds SynLifetime(std::uint32_t copy) {
  return kSynLifetimes[CopyIndex(copy)];
}

/// @return time since the caller's first packet when it sends this copy.
inline std::chrono::milliseconds SynAge(std::uint32_t copy) {
  const auto* const end = kSynLifetimes.begin() + CopyIndex(copy);
  return std::accumulate(kSynLifetimes.begin(), end,
                         std::chrono::milliseconds{0});
}

}  // namespace cowslip::segment
