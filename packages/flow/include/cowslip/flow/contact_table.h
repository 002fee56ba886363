#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::flow {

/// When an upstream that does not answer is probed and then skipped.
struct FailureDetectorOptions {
  /// Time of traffic without an answer before the first probe.
  Duration probe_after{};
  Duration probe_interval{};  ///< Interval of the probes.
  int max_probes = 1;  ///< An upstream with more unanswered probes is skipped.
  /// Probes also after a single unanswered frame, without further traffic. For
  /// a process that gets the answers to its frames.
  bool probe_single_frames = false;
};

/// Failure detector: finds the upstreams that do not respond, from the frames
/// sent to them and received from them.
///
/// Only unanswered probes make an upstream unresponsive, because the traffic of
/// a datagram service may be one-way. The probes are sent at an interval, not
/// with the traffic, and a number of them must stay unanswered, so that neither
/// lost probes nor a pause of this process make an upstream unresponsive.
///
/// Load pattern of probe_single_frames: a caller alone retransmits at doubling
/// intervals, through any balancer, and gives up after five transmissions. If
/// each balancer needs two of them to find out that the owner of the flow is
/// dead, none arrives elsewhere.
class FailureDetector {
 public:
  explicit FailureDetector(const FailureDetectorOptions& options)
      : options_(options) {}

  /// Records that a frame was sent to the upstream.
  /// @return whether a probe must be sent now.
  bool OnSent(UpstreamId upstream, TimePoint now);
  /// Records that a frame was received from the upstream.
  void OnResponse(UpstreamId upstream);
  /// @return whether the upstream is unresponsive.
  bool IsUnresponsive(UpstreamId upstream) const;
  /// @return the upstreams to which a probe must be sent now. The
  ///     reference is valid until the next call.
  const std::vector<UpstreamId>& TakeDueProbes(TimePoint now);
  /// Removes an upstream that has left or restarted.
  void Remove(UpstreamId upstream) { states_.erase(upstream); }

 private:
  struct State {
    std::optional<TimePoint> unanswered_since;  ///< First unanswered frame.
    TimePoint last_probe{};
    int probes = 0;          ///< Sent since the last answer.
    bool suspected = false;  ///< Listed in suspects_.
  };

  bool TakeProbe(State& state, TimePoint now) const;

  FailureDetectorOptions options_;
  std::unordered_map<UpstreamId, State> states_;
  /// Have unanswered frames, but are not yet unresponsive.
  std::vector<UpstreamId> suspects_;
  std::vector<UpstreamId> due_;  ///< Result of TakeDueProbes().
};

}  // namespace cowslip::flow
