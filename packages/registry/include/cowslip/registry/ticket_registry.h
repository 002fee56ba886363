#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/platform.h"
#include "cowslip/registry/registry_error.h"
#include "cowslip/ticket.h"

namespace cowslip::registry {

/// How a ticket came to be accepted.
struct Acceptance {
  TicketNumber number{};
  bool repeated = false;  ///< The same ticket had been accepted before.
};

/// The accepted tickets as the store holds them.
struct History {
  std::map<TicketNumber, ticket::Ticket> tickets;  ///< Since the snapshot.
  ticket::TicketState state;                       ///< All of them, folded.
};

/// Reads and submits tickets.
class TicketRegistry {
 public:
  using Reason = LastReason<RegistryError>;

  explicit TicketRegistry(platform::StoreClient client)
      : client_(std::move(client)) {}

  std::optional<History> Read(Reason& reason);

  /// Creates the ticket in the store if it is valid and the next one. A lost
  /// answer is settled by reading the number back.
  /// @param text YAML, stored as it is.
  std::optional<Acceptance> Submit(std::string_view text, std::string_view file,
                                   Reason& reason);

 private:
  std::optional<Acceptance> Create(const ticket::Ticket& ticket,
                                   std::string_view text, Reason& reason);
  std::optional<Acceptance> Settle(const ticket::Ticket& ticket,
                                   std::string_view text, Reason& reason);

  platform::StoreClient client_;
};

}  // namespace cowslip::registry
