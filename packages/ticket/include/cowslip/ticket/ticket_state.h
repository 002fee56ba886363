#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslip/ticket/ticket.h"

namespace cowslip::ticket {

/// The configuration in force: all tickets up to a number, folded in order.
class TicketState {
 public:
  /// Largest folded state, in bytes of YAML, that is accepted.
  static constexpr std::size_t kMaxBytes = 900'000;

  TicketNumber number() const { return number_; }
  const std::map<ServiceId, Service>& services() const { return services_; }
  const Service* Find(ServiceId id) const;
  const Service* FindAddress(const Endpoint& address) const;

  /// @return the state after the ticket, or std::nullopt if the ticket isn't
  ///     the next one or would leave two services with one address or name.
  std::optional<TicketState> Apply(const Ticket& ticket,
                                   LastReason<TicketError>& reason) const;

  /// @return the state as one ticket that recreates it from nothing.
  Ticket Snapshot() const;
  static TicketState FromSnapshot(const Ticket& snapshot);

 private:
  void Put(const Service& service);
  bool Remove(ServiceId id);

  TicketNumber number_{};
  std::size_t bytes_ = 0;  ///< Of the services, formatted.
  std::map<ServiceId, Service> services_;
};

}  // namespace cowslip::ticket
