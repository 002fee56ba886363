#include "cowslip/segment/sidecar_state_table.h"

#include <algorithm>

namespace cowslip::segment {

void SidecarStateTable::OnAck(InstanceAddress sidecar, const Ack& ack,
                              TimePoint now) {
  auto& contact = contacts_[sidecar];
  contact.misses = 0;
  contact.has_report = true;
  contact.open = ack.open;
  contact.wait_us =
      std::min(ack.expected_wait_us,
               static_cast<std::uint32_t>(kMaxExpectedWait.count()));
  contact.free_slots = std::min(ack.free_slots, kMaxFreeSlots);
  contact.reported_at = now;
  contact.wait_reported_at = now;
  contact.reservations = 0;
}

void SidecarStateTable::OnTimeout(InstanceAddress sidecar, TimePoint now) {
  auto& contact = contacts_[sidecar];
  ++contact.misses;
  if (contact.misses == kMaxMisses) contact.last_probe = now;
}

void SidecarStateTable::OnListedOpen(InstanceAddress sidecar) {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end() || found->second.open) return;
  found->second.open = true;
  found->second.has_report = false;
}

bool SidecarStateTable::IsUnresponsive(InstanceAddress sidecar) const {
  const auto found = contacts_.find(sidecar);
  return found != contacts_.end() && found->second.misses >= kMaxMisses;
}

bool SidecarStateTable::IsOpen(InstanceAddress sidecar, bool listed_open,
                               TimePoint now) const {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end() || !found->second.has_report) return listed_open;
  const auto& contact = found->second;
  const bool is_outdated =
      !contact.open && now - contact.reported_at > kExpectedWaitLifetime;
  return is_outdated ? listed_open : contact.open;
}

std::uint32_t SidecarStateTable::ExpectedWaitUs(InstanceAddress sidecar,
                                                TimePoint now) const {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end() || !found->second.has_report) return 0;
  if (now - found->second.reported_at > kExpectedWaitLifetime) return 0;
  return found->second.wait_us;
}

std::optional<std::chrono::microseconds> SidecarStateTable::RecentWait(
    InstanceAddress sidecar, TimePoint now) const {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end()) return std::nullopt;
  const auto& contact = found->second;
  const bool is_recent =
      contact.wait_reported_at &&
      now - *contact.wait_reported_at <= kExpectedWaitLifetime;
  if (!is_recent) return std::nullopt;
  return std::chrono::microseconds(contact.wait_us);
}

void SidecarStateTable::Reserve(InstanceAddress sidecar, TimePoint now) {
  auto& contact = contacts_[sidecar];
  if (now - contact.reserved_at > kExpectedWaitLifetime) {
    contact.reservations = 0;
  }
  ++contact.reservations;
  contact.reserved_at = now;
}

std::uint32_t SidecarStateTable::Reservations(InstanceAddress sidecar,
                                              TimePoint now) const {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end() ||
      now - found->second.reserved_at > kExpectedWaitLifetime) {
    return 0;
  }
  return found->second.reservations;
}

std::uint16_t SidecarStateTable::Capacity(InstanceAddress sidecar,
                                          TimePoint now) const {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end()) return 0;
  const auto& contact = found->second;
  const bool is_recent = contact.has_report && contact.misses < kMaxMisses &&
                         now - contact.reported_at <= kFreeSlotsLifetime;
  return is_recent ? contact.free_slots : 0;
}

bool SidecarStateTable::ClaimSlot(InstanceAddress sidecar, TimePoint now) {
  auto& contact = contacts_[sidecar];
  if (contact.misses >= kMaxMisses) return false;
  if (!contact.has_report || now - contact.reported_at > kFreeSlotsLifetime) {
    // Allows one reservation; the next one needs a new report.
    contact.has_report = true;
    contact.reported_at = now;
    contact.free_slots = 0;
    return true;
  }
  if (contact.free_slots == 0) return false;
  --contact.free_slots;
  return true;
}

const std::vector<InstanceAddress>& SidecarStateTable::TakeDueProbes(
    TimePoint now) {
  due_.clear();
  for (const auto& [sidecar, contact] : contacts_) {
    if (contact.misses < kMaxMisses) continue;
    if (now - contact.last_probe < kProbeInterval) continue;
    due_.emplace_back(contact.last_probe, sidecar);
  }
  return TakeProbes(now);
}

void SidecarStateTable::ConsiderReportRequest(InstanceAddress sidecar,
                                              TimePoint now) {
  const auto& contact = contacts_[sidecar];
  if (contact.misses >= kMaxMisses) return;
  if (now - contact.reported_at < kReportRequestAge) return;
  if (now - contact.last_probe < kReportRequestAge) return;
  report_requests_.emplace_back(contact.reported_at, sidecar);
}

const std::vector<InstanceAddress>& SidecarStateTable::TakeReportRequests(
    TimePoint now) {
  due_.swap(report_requests_);
  report_requests_.clear();
  return TakeProbes(now);
}

const std::vector<InstanceAddress>& SidecarStateTable::TakeProbes(
    TimePoint now) {
  due_probes_.clear();
  const auto count = std::min(due_.size(), kMaxProbes);
  std::partial_sort(due_.begin(),
                    due_.begin() + static_cast<std::ptrdiff_t>(count),
                    due_.end());
  for (std::size_t i = 0; i < count; ++i) {
    contacts_[due_[i].second].last_probe = now;
    due_probes_.push_back(due_[i].second);
  }
  return due_probes_;
}

}  // namespace cowslip::segment
