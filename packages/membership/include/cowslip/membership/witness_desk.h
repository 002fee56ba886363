#pragma once

#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership/liveness_effects.h"
#include "cowslip/membership/liveness_options.h"
#include "cowslip/membership/view.h"

namespace cowslip::membership {

/// Witness side of the death inquiries that other processes start.
///
/// A question is answered from the frames that this process receives: at once
/// if a recent frame proves the subject alive, and otherwise after probes to
/// the subject were acknowledged or their deadline has passed.
class WitnessDesk {
 public:
  explicit WitnessDesk(const LivenessOptions& options) : options_(options) {}

  /// Handles a reporter's question about an upstream.
  /// @param subject the upstream in the current view, nullptr if the view has
  ///     none; the question is then ignored.
  void OnQuestion(const AskWitness& question, const Upstream* subject,
                  TimePoint now, LivenessEffects& effects);
  /// Records that a frame of an incarnation arrived, and answers the pending
  /// questions about it.
  void OnHeard(UpstreamId id, Incarnation incarnation, TimePoint now,
               LivenessEffects& effects);
  /// Repeats probes, and answers the questions whose deadline has passed.
  /// @param credible false if this process may itself be cut off from the
  ///     network; those questions are then dropped without an answer.
  void OnTick(TimePoint now, bool credible, LivenessEffects& effects);
  /// Drops all pending questions. Used after a pause of this process, in which
  /// deadlines passed without probes.
  void Reset() { pending_.clear(); }

 private:
  static constexpr std::size_t kMaxPending = 256;      ///< Pending questions.
  static constexpr std::size_t kMaxLastFrames = 1024;  ///< Upstreams.
  /// A question whose subject is being probed.
  struct PendingQuestion {
    AskWitness question;
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
  bool HasRecentFrame(const InquiryId& inquiry, TimePoint now) const;

  LivenessOptions options_;
  std::vector<PendingQuestion> pending_;
  std::unordered_map<UpstreamId, LastFrame> last_frames_;
};

}  // namespace cowslip::membership
