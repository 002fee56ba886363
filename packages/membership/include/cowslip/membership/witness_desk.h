#pragma once

#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership/liveness_effects.h"
#include "cowslip/membership/liveness_options.h"
#include "cowslip/membership/view.h"

namespace cowslip::membership {

/// Witness side of failure confirmations: probes an upstream on behalf of a
/// reporter and replies with the result (the indirect probe of SWIM).
///
/// If a recent frame proves the subject alive, the reply is sent at once;
/// otherwise when a frame arrives or the deadline of the probes has passed.
class IndirectProber {
 public:
  explicit IndirectProber(const LivenessOptions& options) : options_(options) {}

  /// Handles a reporter's request to probe an upstream.
  /// @param subject the upstream in the current view, nullptr if the view has
  ///     none; the request is then ignored.
  void OnProbeRequest(const IndirectProbeRequest& request,
                      const Upstream* subject, TimePoint now,
                      LivenessEffects& effects);
  /// Records that a frame of an incarnation arrived, and replies to the pending
  /// requests about it.
  void OnFrameReceived(UpstreamId id, Incarnation incarnation, TimePoint now,
                       LivenessEffects& effects);
  /// Repeats probes, and replies to the requests whose deadline has passed.
  /// @param credible false if this process may itself be cut off from the
  ///     network; those requests are then dropped without a reply.
  void OnTick(TimePoint now, bool credible, LivenessEffects& effects);
  /// Drops all pending requests. Used after a pause of this process, in which
  /// deadlines passed without probes.
  void Reset() { pending_.clear(); }

 private:
  static constexpr std::size_t kMaxPending = 256;      ///< Requests.
  static constexpr std::size_t kMaxLastFrames = 1024;  ///< Upstreams.
  /// A request whose subject is being probed.
  struct PendingProbe {
    IndirectProbeRequest request;
    Endpoint subject;
    TimePoint next_probe;
    TimePoint deadline;
  };
  /// The latest frame of an upstream.
  struct LastFrame {
    Incarnation incarnation{};
    TimePoint received_at;
  };

  /// @return whether a recent frame proves the subject alive.
  bool HasRecentFrame(const ConfirmationId& confirmation_id,
                      TimePoint now) const;

  LivenessOptions options_;
  std::vector<PendingProbe> pending_;
  std::unordered_map<UpstreamId, LastFrame> last_frames_;
};

}  // namespace cowslip::membership
