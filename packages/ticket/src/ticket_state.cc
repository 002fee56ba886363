#include "cowslip/ticket/ticket_state.h"

#include <set>

namespace cowslip::ticket {
namespace {

bool CheckUnique(const std::map<ServiceId, Service>& services,
                 LastReason<TicketError>& reason) {
  std::set<Endpoint> addresses;
  std::set<std::string> names;
  for (const auto& [id, service] : services) {
    if (!addresses.insert(service.address).second) {
      reason.Set(TicketError::kDuplicate,
                 "address " + ToString(service.address));
      return false;
    }
    if (!names.insert(service.name).second) {
      reason.Set(TicketError::kDuplicate, "name " + service.name);
      return false;
    }
  }
  return true;
}

}  // namespace

const Service* TicketState::Find(ServiceId id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

const Service* TicketState::FindAddress(const Endpoint& address) const {
  for (const auto& [id, service] : services_) {
    if (service.address == address) return &service;
  }
  return nullptr;
}

void TicketState::Put(const Service& service) {
  Remove(service.id);
  services_[service.id] = service;
  bytes_ += FormattedSize(service);
}

bool TicketState::Remove(ServiceId id) {
  const auto found = services_.find(id);
  if (found == services_.end()) return false;
  bytes_ -= FormattedSize(found->second);
  services_.erase(found);
  return true;
}

std::optional<TicketState> TicketState::Apply(
    const Ticket& ticket, LastReason<TicketError>& reason) const {
  if (Raw(ticket.number) != Raw(number_) + 1) {
    reason.Set(TicketError::kNumberNotNext,
               "next is " + std::to_string(Raw(number_) + 1));
    return std::nullopt;
  }
  TicketState next = *this;
  next.number_ = ticket.number;
  for (const auto id : ticket.removed) {
    if (!next.Remove(id)) {
      reason.Set(TicketError::kUnknownService,
                 "removed id " + std::to_string(Raw(id)));
      return std::nullopt;
    }
  }
  for (const auto& service : ticket.services) {
    next.Put(service);
  }
  if (!CheckUnique(next.services_, reason)) return std::nullopt;
  if (next.bytes_ > kMaxBytes) {
    reason.Set(TicketError::kTooLarge, std::to_string(next.bytes_) +
                                           " bytes, limit " +
                                           std::to_string(kMaxBytes));
    return std::nullopt;
  }
  return next;
}

Ticket TicketState::Snapshot() const {
  Ticket snapshot;
  snapshot.number = number_;
  snapshot.author = "snapshot";
  for (const auto& [id, service] : services_) {
    snapshot.services.push_back(service);
  }
  return snapshot;
}

TicketState TicketState::FromSnapshot(const Ticket& snapshot) {
  TicketState state;
  state.number_ = snapshot.number;
  for (const auto& service : snapshot.services) {
    state.Put(service);
  }
  return state;
}

}  // namespace cowslip::ticket
