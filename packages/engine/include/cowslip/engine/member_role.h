#pragma once

#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/engine/sidecar_effects.h"
#include "cowslip/link.h"
#include "cowslip/membership.h"
#include "cowslip/ticket.h"

namespace cowslip::engine {

/// A sidecar's part in its membership: its lease, the state of its upstream and
/// the liveness of its neighbours, with their messages as frames.
class MemberRole {
 public:
  /// @param monitor nullopt if neighbours are not to be watched.
  MemberRole(const membership::LeaseGate& gate,
             std::optional<membership::LivenessMonitor> monitor);

  /// To be called first on every event.
  void OnEvent(TimePoint now) { gate_.OnEvent(now); }
  /// @param own id of the upstream.
  void OnView(const membership::ViewPtr& view, UpstreamId own,
              ServiceId service, TimePoint now);
  /// @param answer header of frames of this sidecar.
  /// @param leaving whether it takes no new work because it leaves.
  void OnFrame(const link::FrameHeader& header, const Endpoint& from,
               const link::FrameHeader& answer, bool leaving, TimePoint now,
               SidecarEffects& effects);
  void OnTick(const link::FrameHeader& answer, ticket::Protocol protocol,
              TimePoint now, SidecarEffects& effects);
  /// Tells the neighbours that this sidecar takes no new work.
  void AnnounceLeaving(const link::FrameHeader& answer,
                       SidecarEffects& effects) const;

  membership::LeaseGate& gate() { return gate_; }
  membership::UpstreamHealth& upstream() { return upstream_; }
  void OnDeathRecorded(const membership::RecordDeath& record,
                       membership::RecordOutcome outcome, TimePoint now);

  /// @return whether the upstream may get new work.
  bool Admits() const { return gate_.admits_work() && !upstream_.down(); }
  membership::LeaseState lease() const { return gate_.state(); }
  bool upstream_down() const { return upstream_.down(); }
  /// @return whether new work should not be passed on to the member.
  bool Avoids(UpstreamId id, TimePoint now) const {
    return monitor_ && monitor_->IsUnavailable(id, now);
  }

 private:
  void CarryOut(const link::FrameHeader& answer, SidecarEffects& effects);
  void ProbeUpstream(ticket::Protocol protocol, SidecarEffects& effects);

  membership::LeaseGate gate_;
  membership::UpstreamHealth upstream_;
  std::optional<membership::LivenessMonitor> monitor_;
  membership::LivenessEffects wanted_;
  std::uint16_t pings_ = 0;
};

}  // namespace cowslip::engine
