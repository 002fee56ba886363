#include "cowslip/segment/sidecar_state_table.h"

namespace cowslip::segment {

void SidecarStateTable::OnReceipt(InstanceAddress sidecar, const Receipt& ack,
                                  TimePoint now) {
  auto& state = states_[sidecar];
  state.unacked_packets = 0;
  state.has_report = true;
  state.open = ack.open;
  state.expected_wait = ack.expected_wait_us;
  state.free_slots = ack.free_slots;
  state.reported_at = now;
}

void SidecarStateTable::OnTimeout(InstanceAddress sidecar, TimePoint now) {
  auto& state = states_[sidecar];
  ++state.unacked_packets;
  if (state.unacked_packets == kMaxUnackedPackets) state.last_probe = now;
}

bool SidecarStateTable::IsUnresponsive(InstanceAddress sidecar) const {
  const auto found = states_.find(sidecar);
  return found != states_.end() &&
         found->second.unacked_packets >= kMaxUnackedPackets;
}

bool SidecarStateTable::IsOpen(InstanceAddress sidecar,
                               bool listed_open) const {
  const auto found = states_.find(sidecar);
  if (found == states_.end() || !found->second.has_report) return listed_open;
  return found->second.open;
}

std::uint32_t SidecarStateTable::ExpectedWaitUs(InstanceAddress sidecar,
                                                TimePoint now) const {
  const auto found = states_.find(sidecar);
  if (found == states_.end() || !found->second.has_report) return 0;
  if (now - found->second.reported_at > kExpectedWaitLifetime) return 0;
  return found->second.expected_wait;
}

bool SidecarStateTable::ClaimSlot(InstanceAddress sidecar, TimePoint now) {
  auto& state = states_[sidecar];
  if (state.unacked_packets >= kMaxUnackedPackets) return false;
  if (!state.has_report || now - state.reported_at > kFreeSlotsLifetime) {
    // Allows one reservation; the next one needs a new report.
    state.has_report = true;
    state.reported_at = now;
    state.free_slots = 0;
    return true;
  }
  if (state.free_slots == 0) return false;
  --state.free_slots;
  return true;
}

const std::vector<InstanceAddress>& SidecarStateTable::TakeDueProbes(
    TimePoint now) {
  due_probes_.clear();
  for (auto& [sidecar, state] : states_) {
    if (state.unacked_packets < kMaxUnackedPackets) continue;
    if (now - state.last_probe < kProbeInterval) continue;
    state.last_probe = now;
    due_probes_.push_back(sidecar);
  }
  return due_probes_;
}

}  // namespace cowslip::segment
