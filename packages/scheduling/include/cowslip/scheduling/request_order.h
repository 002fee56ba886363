#pragma once

#include "cowslip/base.h"
#include "cowslip/scheduling/queued_request.h"

namespace cowslip::scheduling {

/// The order in which waiting requests get the slots of an upstream.
///
/// Load pattern: more requests than the slots can serve in time, because of a
/// surge of callers, because upstreams became slow, or because all restarted
/// cold at once. Slots go first to requests whose response can still be in
/// time, then to those whose response is late but of use.
class RequestOrder {
 public:
  /// @param service_time expected time that a request takes a slot.
  RequestOrder(TimePoint now, Duration service_time)
      : now_(now), response_at_(now + service_time) {}

  /// @return whether the response would meet the latency target if the request
  /// got a slot now.
  bool CanMeetTarget(const QueuedRequest& request) const {
    return response_at_ <= request.target_at();
  }
  /// @return whether the response would come before the time limit if the
  /// request got a slot now.
  bool CanBeAnswered(const QueuedRequest& request) const {
    const auto limit = request.limit_at();
    return !limit || response_at_ <= *limit;
  }
  /// @return whether a request comes before another one: those that can meet
  /// their target, the more urgent, the earlier target.
  bool Precedes(const QueuedRequest& a, const QueuedRequest& b) const;
  /// @return whether a request that has waited half of its time limit moves
  /// ahead of a less urgent one that arrived later. Without this, requests that
  /// are late would wait for ever behind less urgent ones that are not.
  bool Overtakes(const QueuedRequest& waiting,
                 const QueuedRequest& other) const;

 private:
  TimePoint now_;
  TimePoint response_at_;
};

}  // namespace cowslip::scheduling
