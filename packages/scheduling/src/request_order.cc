#include "cowslip/scheduling/request_order.h"

#include <tuple>

namespace cowslip::scheduling {

bool RequestOrder::Precedes(const QueuedRequest& a,
                            const QueuedRequest& b) const {
  const auto rank = [this](const QueuedRequest& request) {
    return std::tuple(!CanMeetTarget(request), request.terms.priority,
                      request.target_at(), request.arrival);
  };
  return rank(a) < rank(b);
}

bool RequestOrder::Overtakes(const QueuedRequest& waiting,
                             const QueuedRequest& other) const {
  const bool has_waited_long =
      now_ - waiting.arrival >= waiting.terms.limit() / 2;
  return has_waited_long && waiting.terms.priority < other.terms.priority &&
         waiting.arrival < other.arrival;
}

}  // namespace cowslip::scheduling
