#include "request_class.h"

#include <algorithm>

#include "syn_copy.h"

namespace cowslip::segment {
namespace {

/// Part of the latency target, in percent, within which the upstream has to
/// answer; the rest is for the round trips of the handshake and of the request.
constexpr int kAnswerPercent = 90;
using TimeLimit = std::optional<std::chrono::milliseconds>;

TimeLimit Left(TimeLimit limit, std::chrono::milliseconds passed) {
  if (!limit) return std::nullopt;
  return std::max(*limit - passed, std::chrono::milliseconds::zero());
}

}  // namespace

void ClassifyRequest(const Route& route, const PendingPacket& pending,
                     bool with_class, TimePoint now, SegmentFrame& frame) {
  std::chrono::milliseconds passed{0};
  if (pending.segment.is_syn()) {
    passed = std::chrono::duration_cast<std::chrono::milliseconds>(
                 now - pending.arrival) +
             SynAge(pending.segment.ack);
  }
  if (route.latency_target) {
    frame.time_left =
        Left(*route.latency_target * kAnswerPercent / 100, passed);
  }
  if (with_class) {
    frame.request =
        RequestClass{route.priority, Left(route.time_limit, passed)};
  }
}

}  // namespace cowslip::segment
