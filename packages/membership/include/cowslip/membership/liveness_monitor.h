#pragma once

#include <optional>
#include <random>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership/failure_confirmation.h"
#include "cowslip/membership/indirect_prober.h"
#include "cowslip/membership/liveness_effects.h"
#include "cowslip/membership/liveness_options.h"
#include "cowslip/membership/membership_error.h"
#include "cowslip/membership/view.h"

namespace cowslip::membership {

/// Watches the upstreams that follow this one in the ring of its service,
/// ordered by id, and finds out which of them are dead.
///
/// A death is recorded after silence, a second opinion of other members and
/// proof that this process isn't the one that is cut off. The cost doesn't
/// depend on the number of members. See docs/MEMBERSHIP.md. The idea of asking
/// others before declaring a failure is that of SWIM (Das, Gupta and
/// Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
/// Membership Protocol", 2002).
class LivenessMonitor {
 public:
  static std::optional<LivenessMonitor> Create(
      const LivenessOptions& options, LastReason<MembershipError>& reason);

  void OnView(ViewPtr view, TimePoint now);
  /// Any frame from a member, probe answers included.
  /// @param leaving whether the frame says that its sender adopts nothing.
  void OnFrameReceived(UpstreamId id, Incarnation incarnation, bool leaving,
                       TimePoint now, LivenessEffects& effects);
  /// A reporter asks; `question.to` is the reporter's address.
  void OnProbeRequest(const IndirectProbeRequest& question, TimePoint now,
                      LivenessEffects& effects);
  void OnProbeReply(UpstreamId witness, const ConfirmationId& inquiry,
                    bool reachable, TimePoint now, LivenessEffects& effects);
  void OnRecorded(const RecordDeath& record, RecordOutcome outcome,
                  TimePoint now);
  /// Call it every 10 to 500 ms.
  void OnTick(TimePoint now, LivenessEffects& effects);

  /// @return whether the member said that it is leaving, or is silent.
  bool IsUnavailable(UpstreamId id, TimePoint now) const;
  /// @return whether more than half of the neighbours are silent.
  bool IsolationSuspected(TimePoint now) const;
  /// Sidecars next to this one in the ring, on both sides.
  std::vector<Endpoint> Neighbours() const;

 private:
  struct Target {
    Upstream upstream;
    std::size_t distance = 1;  ///< Steps along the ring.
    TimePoint last_heard;
    bool heard = false;
    bool leaving = false;
    TimePoint next_probe;
    TimePoint next_inquiry;
    bool recording = false;
    int unsettled = 0;  ///< Inquiries in a row that settled nothing.
    std::optional<FailureConfirmation> inquiry;
  };

  explicit LivenessMonitor(const LivenessOptions& options);

  std::vector<const Upstream*> Successors() const;
  const Target* FindTarget(UpstreamId id) const;
  Target* FindTarget(UpstreamId id);
  bool IsSilent(const Target& target, TimePoint now) const;
  std::size_t SilentTargets(TimePoint now) const;
  void Forgive(TimePoint now);
  void ProbeIfDue(Target& target, TimePoint now, LivenessEffects& effects);
  void StartInquiryIfDue(Target& target, TimePoint now,
                         LivenessEffects& effects);
  void Ask(Target& target, TimePoint now, LivenessEffects& effects);
  void Conclude(Target& target, TimePoint now, LivenessEffects& effects);
  void RetryLater(Target& target, TimePoint now);
  std::vector<Witness> Candidates(const Upstream& subject);
  void NoteCount(const WitnessCount& count);

  LivenessOptions options_;
  std::mt19937_64 generator_;
  IndirectProber desk_;
  ViewPtr view_;
  std::vector<Target> targets_;
  WitnessCount history_;
  std::uint32_t rounds_ = 0;
  std::optional<TimePoint> last_tick_;
};

}  // namespace cowslip::membership
