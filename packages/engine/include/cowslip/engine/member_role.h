#pragma once

#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/engine/sidecar_effects.h"
#include "cowslip/link.h"
#include "cowslip/membership.h"
#include "cowslip/ticket.h"

namespace cowslip::engine {

/// Handles the membership of a sidecar: holds its lease, tracks the state of
/// its upstream, and monitors the liveness of neighbours. Converts the messages
/// of these protocols to and from frames.
class MembershipAgent {
 public:
  /// @param monitor std::nullopt to not monitor neighbours.
  MembershipAgent(const membership::LeaseGate& gate,
                  std::optional<membership::LivenessMonitor> monitor);

  /// Must be called first on every event; a long pause puts the lease in doubt.
  void OnEvent(TimePoint now) { gate_.OnEvent(now); }
  /// @param own_id id of the upstream of this sidecar.
  void OnView(const membership::ViewPtr& view, UpstreamId own_id,
              ServiceId service, TimePoint now);
  /// Handles probes, answers to probes, and queries about failed members.
  /// @param header_template header of the frames that this sidecar sends.
  /// @param leaving whether this sidecar accepts no new work because it drains.
  void OnFrame(const link::FrameHeader& header, const Endpoint& from,
               const link::FrameHeader& header_template, bool leaving,
               TimePoint now, SidecarEffects& effects);
  /// Sends the probes and reports that are due.
  /// @param header_template header of the frames that this sidecar sends.
  /// @param protocol selects the probe that the upstream understands.
  void OnTick(const link::FrameHeader& header_template,
              ticket::Protocol protocol, TimePoint now,
              SidecarEffects& effects);
  /// Notifies the neighbours that this sidecar accepts no new work.
  void AnnounceLeaving(const link::FrameHeader& header_template,
                       SidecarEffects& effects) const;

  membership::LeaseGate& gate() { return gate_; }
  membership::UpstreamHealth& upstream() { return upstream_watch_; }
  void OnDeathRecorded(const membership::RecordDeath& record,
                       membership::RecordOutcome outcome, TimePoint now);

  /// @return whether new work may be sent to the upstream: the lease is held
  ///     and the upstream is not down.
  bool CanAcceptWork() const {
    return gate_.admits_work() && !upstream_watch_.down();
  }
  membership::LeaseState lease() const { return gate_.state(); }
  bool upstream_down() const { return upstream_watch_.down(); }
  /// @return whether new work should not be sent to this member.
  bool ShouldAvoid(UpstreamId id, TimePoint now) const {
    return monitor_ && monitor_->IsUnavailable(id, now);
  }

 private:
  void ConvertEffects(const link::FrameHeader& header_template,
                      SidecarEffects& effects);
  void ProbeUpstream(ticket::Protocol protocol, SidecarEffects& effects);

  membership::LeaseGate gate_;
  membership::UpstreamHealth upstream_watch_;
  std::optional<membership::LivenessMonitor> monitor_;
  membership::LivenessEffects liveness_effects_;
  std::uint16_t ping_message_id_ = 0;
};

}  // namespace cowslip::engine
