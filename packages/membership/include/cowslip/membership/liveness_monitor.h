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
/// successors. If no frame arrives from one of them, other members are asked
/// whether they can reach it (DeathInquiry). Its death is recorded if they
/// can't and enough of them answered to show that this process isn't the one
/// that is cut off. The cost per member doesn't depend on the number of
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
  void OnHeard(UpstreamId id, Incarnation incarnation, bool leaving,
               TimePoint now, LivenessEffects& effects);
  /// Handles a reporter's question to this process as a witness;
  /// `question.to` is the reporter's address.
  void OnQuestion(const AskWitness& question, TimePoint now,
                  LivenessEffects& effects);
  /// Handles a witness's answer to an inquiry of this process.
  void OnAnswer(UpstreamId witness, const InquiryId& inquiry, bool reachable,
                TimePoint now, LivenessEffects& effects);
  /// Handles the outcome of a RecordDeath action.
  void OnRecorded(const RecordDeath& record, RecordOutcome outcome,
                  TimePoint now);
  /// Sends the probes and questions that are due. Call it every 10 to 500 ms.
  void OnTick(TimePoint now, LivenessEffects& effects);

  /// @return whether new work should not be sent to the member: it is leaving,
  ///     or no frame has arrived from it for some time.
  bool Avoids(UpstreamId id, TimePoint now) const;
  /// @return whether more than half of the probed neighbours are silent, so
  ///     that this process itself may be cut off.
  bool IsolationSuspected(TimePoint now) const;
  /// @return the sidecars next to this one in the ring, on both sides.
  std::vector<Endpoint> Neighbours() const;

 private:
  /// A successor in the ring, which this process probes.
  struct Target {
    Upstream upstream;
    std::size_t distance = 1;  ///< Steps along the ring.
    TimePoint last_frame_at;
    bool frame_received = false;  ///< A frame of this incarnation has arrived.
    bool leaving = false;
    TimePoint next_probe;
    TimePoint next_inquiry;
    bool record_pending = false;  ///< A RecordDeath action is outstanding.
    int inconclusive = 0;         ///< Inconclusive inquiries in a row.
    std::optional<DeathInquiry> inquiry;
  };

  explicit LivenessMonitor(const LivenessOptions& options);

  /// @return the next upstreams in the ring, at most `neighbours` of them.
  std::vector<const Upstream*> Successors() const;
  const Target* FindTarget(UpstreamId id) const;
  Target* FindTarget(UpstreamId id);
  /// @return whether probes have gone unanswered for some time.
  bool IsSilent(const Target& target, TimePoint now) const;
  std::size_t CountSilentTargets(TimePoint now) const;
  /// Restarts the measurement of silence and drops all inquiries.
  void ResetSilence(TimePoint now);
  void ProbeIfDue(Target& target, TimePoint now, LivenessEffects& effects);
  void StartInquiryIfDue(Target& target, TimePoint now,
                         LivenessEffects& effects);
  /// Sends the questions of the next stage of an inquiry.
  void AskNextStage(Target& target, TimePoint now, LivenessEffects& effects);
  /// Acts on the result of an inquiry, if there is one.
  void ApplyVerdict(Target& target, TimePoint now, LivenessEffects& effects);
  /// Ends the inquiry and schedules the earliest start of the next one.
  void EndInquiry(Target& target, TimePoint now);
  /// @return the witnesses for an inquiry, in the order in which to ask them.
  std::vector<Witness> WitnessCandidates(const Upstream& subject);
  /// Adds the counts of a finished inquiry to the decaying history.
  void AddToHistory(const WitnessCount& count);

  LivenessOptions options_;
  std::mt19937_64 generator_;
  WitnessDesk witness_;
  ViewPtr view_;
  std::vector<Target> targets_;
  WitnessCount answer_history_;
  std::uint32_t last_round_ = 0;
  std::optional<TimePoint> last_tick_;
};

}  // namespace cowslip::membership
