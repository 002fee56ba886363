#include "cowslip/flow/contact_table.h"

namespace cowslip::flow {

bool ContactTable::OnSent(UpstreamId upstream, TimePoint now) {
  auto& contact = contacts_[upstream];
  if (!contact.unanswered_since) contact.unanswered_since = now;
  if (now - *contact.unanswered_since < limits_.probe_after) return false;
  if (!contact.first_probe) {
    contact.first_probe = now;
  } else if (now - contact.last_probe < limits_.probe_every) {
    return false;
  }
  contact.last_probe = now;
  return true;
}

void ContactTable::OnHeard(UpstreamId upstream, TimePoint) {
  auto& contact = contacts_[upstream];
  contact.unanswered_since.reset();
  contact.first_probe.reset();
}

bool ContactTable::IsSilent(UpstreamId upstream, TimePoint now) const {
  const auto found = contacts_.find(upstream);
  if (found == contacts_.end() || !found->second.first_probe) return false;
  return now - *found->second.first_probe >= limits_.skip_after;
}

}  // namespace cowslip::flow
