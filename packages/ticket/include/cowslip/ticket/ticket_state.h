#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslip/ticket/ticket.h"

namespace cowslip::ticket {

/// Configuration that results from all tickets up to a number, applied in
/// order.
class TicketState {
 public:
  /// Limit of the formatted size of all services, in bytes of YAML.
  static constexpr std::size_t kMaxBytes = 900'000;

  TicketNumber number() const { return number_; }
  const std::map<ServiceId, Service>& services() const { return services_; }
  /// @return nullptr if there is no such service.
  const Service* Find(ServiceId id) const;
  /// @return the service with this address, nullptr if there is none.
  const Service* FindAddress(const Endpoint& address) const;

  /// @return the state after the ticket, or std::nullopt if the ticket isn't
  ///     the next one, removes an unknown service, exceeds kMaxBytes, or would
  ///     give two services the same address or name.
  std::optional<TicketState> Apply(const Ticket& ticket,
                                   LastReason<TicketError>& reason) const;

  /// @return the state as one ticket, from which FromSnapshot() restores it.
  Ticket Snapshot() const;
  static TicketState FromSnapshot(const Ticket& snapshot);

 private:
  void Put(const Service& service);
  bool Remove(ServiceId id);

  TicketNumber number_{};
  std::size_t bytes_ = 0;  ///< Formatted size of all services.
  std::map<ServiceId, Service> services_;
};

}  // namespace cowslip::ticket
