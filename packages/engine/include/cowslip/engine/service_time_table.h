#pragma once

#include <cstdint>
#include <unordered_map>

#include "cowslip/base.h"

namespace cowslip::engine {

/// @return whether a mean service time is much shorter than another one. False
///     if one of them is 0, unknown.
inline bool IsMuchFaster(std::uint32_t service_time, std::uint32_t than) {
  constexpr double kMaxRatio = 0.7;
  return service_time != 0 && than != 0 && service_time <= than * kMaxRatio;
}

/// The mean service time of each upstream of a service, as reported by its
/// sidecar in the header of every frame.
class ServiceTimeTable {
 public:
  /// @param service_time in microseconds; 0 if unknown, which keeps the
  ///     previous value.
  void Update(UpstreamId upstream, std::uint32_t service_time) {
    if (service_time != 0) service_times_[upstream] = service_time;
  }
  /// @return the service time in microseconds, 0 if unknown.
  std::uint32_t Find(UpstreamId upstream) const {
    const auto found = service_times_.find(upstream);
    return found == service_times_.end() ? 0 : found->second;
  }

 private:
  std::unordered_map<UpstreamId, std::uint32_t> service_times_;
};

}  // namespace cowslip::engine
