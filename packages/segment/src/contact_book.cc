#include "cowslip/segment/contact_book.h"

namespace cowslip::segment {

void ContactBook::OnAck(InstanceAddress sidecar, const Ack& receipt,
                        TimePoint now) {
  auto& contact = contacts_[sidecar];
  contact.misses = 0;
  contact.heard = true;
  contact.open = receipt.open;
  contact.wait_us = receipt.expected_wait_us;
  contact.free_slots = receipt.free_slots;
  contact.wait_at = now;
}

void ContactBook::OnMiss(InstanceAddress sidecar, TimePoint now) {
  auto& contact = contacts_[sidecar];
  ++contact.misses;
  if (contact.misses == kMissesUntilSilent) contact.probed = now;
}

bool ContactBook::IsSilent(InstanceAddress sidecar) const {
  const auto found = contacts_.find(sidecar);
  return found != contacts_.end() && found->second.misses >= kMissesUntilSilent;
}

bool ContactBook::IsOpen(InstanceAddress sidecar, bool listed_open) const {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end() || !found->second.heard) return listed_open;
  return found->second.open;
}

std::uint32_t ContactBook::ExpectedWaitUs(InstanceAddress sidecar,
                                          TimePoint now) const {
  const auto found = contacts_.find(sidecar);
  if (found == contacts_.end() || !found->second.heard) return 0;
  if (now - found->second.wait_at > kWaitLifetime) return 0;
  return found->second.wait_us;
}

bool ContactBook::ClaimSlot(InstanceAddress sidecar, TimePoint now) {
  auto& contact = contacts_[sidecar];
  if (contact.misses >= kMissesUntilSilent) return false;
  if (!contact.heard || now - contact.wait_at > kSlotsLifetime) {
    // One claim; the next waits for news.
    contact.heard = true;
    contact.wait_at = now;
    contact.free_slots = 0;
    return true;
  }
  if (contact.free_slots == 0) return false;
  --contact.free_slots;
  return true;
}

const std::vector<InstanceAddress>& ContactBook::TakeDueProbes(TimePoint now) {
  due_.clear();
  for (auto& [sidecar, contact] : contacts_) {
    if (contact.misses < kMissesUntilSilent) continue;
    if (now - contact.probed < kProbeInterval) continue;
    contact.probed = now;
    due_.push_back(sidecar);
  }
  return due_;
}

}  // namespace cowslip::segment
