#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/consul.h"
#include "cowslip/registry/history.h"
#include "cowslip/registry/registry_error.h"
#include "cowslip/ticket.h"

namespace cowslip::registry {

/// How a ticket came to be accepted.
struct Acceptance {
  TicketNumber number{};
  bool already_accepted = false;  ///< The same ticket had been accepted before.
};

/// Reads and submits tickets.
///
/// A number is created once only: by a compare-and-set that demands that its
/// key is missing, and not counted if a snapshot has gone past the number
/// meanwhile. Whether a write with a lost answer took effect is found out by
/// reading the number back and comparing digests.
class TicketRegistry {
 public:
  using Reason = LastReason<RegistryError>;

  explicit TicketRegistry(consul::StoreClient client)
      : client_(std::move(client)) {}

  std::optional<History> Read(Reason& reason);

  /// Creates the ticket in the store if it is valid and the next one.
  /// @param text YAML, stored as it is.
  std::optional<Acceptance> Submit(std::string_view text, std::string_view file,
                                   Reason& reason);

  consul::StoreClient& client() { return client_; }

 private:
  std::optional<Acceptance> Create(const ticket::Ticket& ticket,
                                   std::string_view text, Reason& reason);
  std::optional<Acceptance> Settle(const ticket::Ticket& ticket,
                                   std::string_view text, bool own_write,
                                   Reason& reason);

  consul::StoreClient client_;
};

}  // namespace cowslip::registry
