#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::flow {

/// When an upstream that does not answer is probed and then skipped.
struct SilenceLimits {
  Duration probe_after{};  ///< Time of traffic without an answer.
  Duration probe_every{};  ///< Interval of the probes.
  int probes = 1;  ///< An upstream with more unanswered probes is skipped.
};

/// Failure detector: finds the upstreams that do not respond, from the frames
/// sent to them and received from them.
///
/// Only unanswered probes make an upstream unresponsive, because the traffic of
/// a datagram service may be one-way. The probes are sent at an interval, not
/// with the traffic, and a number of them must stay unanswered, so that neither
/// lost probes nor a pause of this process make an upstream unresponsive.
class ContactTable {
 public:
  explicit ContactTable(const SilenceLimits& limits) : limits_(limits) {}

  /// Records that a frame was sent to the upstream.
  /// @return whether a probe must be sent now.
  bool OnSent(UpstreamId upstream, TimePoint now);
  /// Records that a frame was received from the upstream.
  void OnHeard(UpstreamId upstream);
  /// @return whether the upstream is unresponsive.
  bool IsSilent(UpstreamId upstream) const;
  /// @return the upstreams to which a further probe must be sent now. The
  ///     reference is valid until the next call.
  const std::vector<UpstreamId>& TakeDue(TimePoint now);
  /// Removes an upstream that has left or restarted.
  void Remove(UpstreamId upstream) { states_.erase(upstream); }

 private:
  struct State {
    std::optional<TimePoint> unanswered_since;  ///< First unanswered frame.
    TimePoint last_probe{};
    int probes = 0;  ///< Sent since the last answer.
  };

  bool TakeProbe(State& state, TimePoint now) const;

  SilenceLimits limits_;
  std::unordered_map<UpstreamId, State> states_;
  std::vector<UpstreamId> suspects_;  ///< Probed, but not yet unresponsive.
  std::vector<UpstreamId> due_;       ///< Result of TakeDue().
};

}  // namespace cowslip::flow
