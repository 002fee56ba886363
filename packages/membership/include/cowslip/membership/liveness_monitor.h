#pragma once

#include <optional>
#include <random>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership/death_inquiry.h"
#include "cowslip/membership/liveness_effects.h"
#include "cowslip/membership/liveness_options.h"
#include "cowslip/membership/membership_error.h"
#include "cowslip/membership/view.h"
#include "cowslip/membership/witness_desk.h"

namespace cowslip::membership {

/// Failure detector for the upstreams of a service.
///
/// The upstreams of a service form a ring, ordered by id; this one probes its
/// successors. If no frame arrives from one of them, other members are asked to
/// probe it (FailureConfirmation). Its death is recorded if they can't reach it
/// and enough of them replied to show that this process isn't the one that is
/// cut off. The cost per member doesn't depend on the number of
/// members. See docs/MEMBERSHIP.md. Asking other members before a failure is
/// declared follows SWIM (Das, Gupta and Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
class LivenessMonitor {
 public:
  /// @return std::nullopt if the intervals in the options are inconsistent.
  static std::optional<LivenessMonitor> Create(
      const LivenessOptions& options, LastReason<MembershipError>& reason);

  /// Replaces the members to probe by the successors in a new view.
  void OnView(ViewPtr view, TimePoint now);
  /// Handles any frame from a member, probe acknowledgements included.
  /// @param leaving whether the frame states that its sender accepts no new
  ///     work.
  void OnFrameReceived(UpstreamId id, Incarnation incarnation, bool leaving,
                       TimePoint now, LivenessEffects& effects);
  /// Handles a reporter's request to this process as a witness; `request.to` is
  /// the reporter's address.
  void OnProbeRequest(const IndirectProbeRequest& request, TimePoint now,
                      LivenessEffects& effects);
  /// Handles a witness's reply to this process as a reporter.
  void OnProbeReply(UpstreamId witness, const ConfirmationId& confirmation_id,
                    bool reachable, TimePoint now, LivenessEffects& effects);
  /// Handles the outcome of a RecordDeath action.
  void OnRecorded(const RecordDeath& record, RecordOutcome outcome,
                  TimePoint now);
  /// Sends the probes and requests that are due. Call it every 10 to 500 ms.
  void OnTick(TimePoint now, LivenessEffects& effects);

  /// @return whether new work should not be sent to the member: it is leaving,
  ///     or unresponsive.
  bool IsUnavailable(UpstreamId id, TimePoint now) const;
  /// @return whether more than half of the probed neighbours are
  ///     unresponsive, so that this process itself may be cut off.
  bool IsolationSuspected(TimePoint now) const;
  /// @return the sidecars next to this one in the ring, on both sides.
  std::vector<Endpoint> Neighbours() const;

 private:
  /// A successor in the ring, which this process probes.
  struct Target {
    Upstream upstream;
    std::size_t distance = 1;  ///< Steps along the ring.
    TimePoint last_seen;
    bool seen = false;  ///< A frame from this incarnation arrived.
    bool leaving = false;
    TimePoint next_probe;
    TimePoint next_confirmation;
    bool record_pending = false;  ///< A RecordDeath action is outstanding.
    int inconclusive = 0;         ///< Inconclusive confirmations in a row.
    std::optional<FailureConfirmation> confirmation;
  };

  explicit LivenessMonitor(const LivenessOptions& options);

  /// @return the next upstreams in the ring, at most `neighbours` of them.
  std::vector<const Upstream*> Successors() const;
  const Target* FindTarget(UpstreamId id) const;
  Target* FindTarget(UpstreamId id);
  /// @return whether the last probes were not acknowledged.
  bool IsUnresponsive(const Target& target, TimePoint now) const;
  std::size_t CountUnresponsiveTargets(TimePoint now) const;
  /// Counts all targets as seen now and drops all confirmations.
  void ResetSeen(TimePoint now);
  void ProbeIfDue(Target& target, TimePoint now, LivenessEffects& effects);
  void StartConfirmationIfDue(Target& target, TimePoint now,
                              LivenessEffects& effects);
  /// Sends the requests of the next stage of a confirmation.
  void ProbeNextStage(Target& target, TimePoint now, LivenessEffects& effects);
  /// Acts on the result of a confirmation, if there is one.
  void ApplyResult(Target& target, TimePoint now, LivenessEffects& effects);
  /// Ends the confirmation and schedules the earliest start of the next one.
  void EndConfirmation(Target& target, TimePoint now);
  /// @return the witnesses for a confirmation, in the order in which to ask
  ///     them.
  std::vector<Witness> WitnessCandidates(const Upstream& subject);
  /// Adds the counts of a finished confirmation to the decaying history.
  void AddToHistory(const WitnessCount& count);

  LivenessOptions options_;
  std::mt19937_64 generator_;
  IndirectProber witness_;
  ViewPtr view_;
  std::vector<Target> targets_;
  WitnessCount witness_history_;
  std::uint32_t last_round_ = 0;
  std::optional<TimePoint> last_tick_;
};

}  // namespace cowslip::membership
