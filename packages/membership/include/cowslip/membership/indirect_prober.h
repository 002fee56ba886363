#pragma once

#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership/liveness_effects.h"
#include "cowslip/membership/liveness_options.h"
#include "cowslip/membership/view.h"

namespace cowslip::membership {

/// Answers the death inquiries of others from what this process hears.
class IndirectProber {
 public:
  explicit IndirectProber(const LivenessOptions& options) : options_(options) {}

  /// A reporter asks about an upstream.
  /// @param subject as this process knows it, nullptr if it doesn't.
  void OnProbeRequest(const IndirectProbeRequest& question,
                      const Upstream* subject, TimePoint now,
                      LivenessEffects& effects);
  /// Notes any frame of an incarnation.
  void OnFrameReceived(UpstreamId id, Incarnation incarnation, TimePoint now,
                       LivenessEffects& effects);
  /// @param credible false if this process may itself be cut off; it then
  ///     leaves questions unanswered.
  void OnTick(TimePoint now, bool credible, LivenessEffects& effects);
  /// Forgets open questions, whose deadlines passed unnoticed.
  void Reset() { open_.clear(); }

 private:
  static constexpr std::size_t kMaxOpen = 256;
  static constexpr std::size_t kMaxSeen = 1024;
  struct Open {
    IndirectProbeRequest question;
    Endpoint subject;
    TimePoint next_probe;
    TimePoint deadline;
  };
  struct Seen {
    Incarnation incarnation{};
    TimePoint heard;
  };

  bool Reaches(const ConfirmationId& inquiry, TimePoint now) const;

  LivenessOptions options_;
  std::vector<Open> open_;
  std::unordered_map<UpstreamId, Seen> seen_;
};

}  // namespace cowslip::membership
