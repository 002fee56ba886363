#include "cowslip/flow/contact_table.h"

namespace cowslip::flow {

bool ContactTable::Probe(Contact& contact, TimePoint now) const {
  if (contact.probes > 0 && now - contact.last_probe < limits_.probe_every) {
    return false;
  }
  contact.last_probe = now;
  ++contact.probes;
  return true;
}

bool ContactTable::OnSent(UpstreamId upstream, TimePoint now) {
  auto& contact = contacts_[upstream];
  if (!contact.unanswered_since) contact.unanswered_since = now;
  if (now - *contact.unanswered_since < limits_.probe_after) return false;
  if (contact.probes == 0) suspects_.push_back(upstream);
  return Probe(contact, now);
}

void ContactTable::OnHeard(UpstreamId upstream) {
  const auto found = contacts_.find(upstream);
  if (found != contacts_.end()) found->second = {};
}

bool ContactTable::IsSilent(UpstreamId upstream) const {
  const auto found = contacts_.find(upstream);
  return found != contacts_.end() && found->second.probes > limits_.probes;
}

const std::vector<UpstreamId>& ContactTable::TakeDue(TimePoint now) {
  due_.clear();
  std::erase_if(suspects_, [&](UpstreamId id) {
    const auto found = contacts_.find(id);
    if (found == contacts_.end()) return true;
    auto& contact = found->second;
    if (contact.probes == 0 || contact.probes > limits_.probes) return true;
    if (Probe(contact, now)) due_.push_back(id);
    return false;
  });
  return due_;
}

}  // namespace cowslip::flow
