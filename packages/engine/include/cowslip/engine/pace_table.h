#pragma once

#include <cstdint>
#include <unordered_map>

#include "cowslip/base.h"

namespace cowslip::engine {

/// The mean service times of the upstreams of a service, as their sidecars
/// tell them on the frames that they send anyway.
class PaceTable {
 public:
  /// @param service_time in microseconds; 0: unknown, keeps the former one.
  void Learn(UpstreamId upstream, std::uint32_t service_time) {
    if (service_time != 0) paces_[upstream] = service_time;
  }
  /// @return microseconds, 0 if unknown.
  std::uint32_t Find(UpstreamId upstream) const {
    const auto found = paces_.find(upstream);
    return found == paces_.end() ? 0 : found->second;
  }

 private:
  std::unordered_map<UpstreamId, std::uint32_t> paces_;
};

}  // namespace cowslip::engine
