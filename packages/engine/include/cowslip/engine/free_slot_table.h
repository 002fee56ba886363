#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::engine {

/// The free slots that sidecars reported in the replies that a balancer
/// relayed, for hints to the owners of flows: an upstream that probably has a
/// free slot.
///
/// Load pattern: a service with upstreams of different speed under high load.
/// The slots of the fast upstreams are free for a few milliseconds at a time.
/// Owners run requests on slow slots meanwhile, or search for a free slot hop
/// by hop. A reply is relayed by one balancer only, so that a free slot is
/// hinted to few owners at a time, and each slot only once until the next
/// report.
///
/// A hint is no decision: the upstream that it names evaluates its load when
/// the request arrives.
class FreeSlotTable {
 public:
  /// Age up to which a report is used. 6 to 20 ms gave the same waits in an
  /// experiment; older reports name slots that are in use again.
  static constexpr std::chrono::milliseconds kMaxAge{10};
  /// Upstreams with free slots that are remembered for each service.
  static constexpr std::size_t kMaxCandidates = 8;

  /// Records the report of an upstream.
  /// @param service_time in microseconds, 0 if unknown.
  void Update(ServiceId service, UpstreamId upstream, std::uint32_t free_slots,
              std::uint32_t service_time, TimePoint now);
  /// Takes a slot for a request of a flow: one of a much faster upstream than
  /// the owner, or any slot if the owner reported none.
  /// @return its upstream; UpstreamId{} if there is no such slot.
  UpstreamId Take(ServiceId service, UpstreamId owner, TimePoint now);
  /// Removes an upstream that has restarted or left.
  void Remove(UpstreamId upstream) { reports_.erase(upstream); }

 private:
  struct Report {
    std::uint32_t free_slots = 0;
    std::uint32_t service_time = 0;
    TimePoint at{};
  };

  /// @return the report of an upstream with a free slot; nullptr if it has none
  ///     or the report is too old.
  Report* FindFree(UpstreamId upstream, TimePoint now);

  std::unordered_map<UpstreamId, Report> reports_;
  /// Upstreams that reported free slots, at most kMaxCandidates for a service.
  std::unordered_map<ServiceId, std::vector<UpstreamId>> candidates_;
};

}  // namespace cowslip::engine
