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

/// Result of a successful submission.
struct Acceptance {
  TicketNumber number{};
  bool already_accepted = false;  ///< The same ticket was accepted before.
};

/// Reads the tickets in the store and submits new ones.
///
/// A number is used only once: its key is created by a compare-and-set that
/// requires the key to be missing, and the write doesn't count if a snapshot
/// has covered the number in the meantime. If the answer to a write is lost,
/// the number is read back and the digests are compared to find out whether the
/// write took effect.
class TicketRegistry {
 public:
  using Reason = LastReason<RegistryError>;

  explicit TicketRegistry(consul::StoreClient client)
      : client_(std::move(client)) {}

  /// @return std::nullopt if the store can't be read.
  std::optional<History> Read(Reason& reason);

  /// Creates the ticket in the store if it is valid and the next one.
  /// @param text YAML, stored unchanged.
  /// @param file name of the file for the reason.
  std::optional<Acceptance> Submit(std::string_view text, std::string_view file,
                                   Reason& reason);

  consul::StoreClient& client() { return client_; }

 private:
  /// Writes the ticket's key and checks the outcome.
  std::optional<Acceptance> Create(const ticket::Ticket& ticket,
                                   std::string_view text, Reason& reason);
  /// Determines whether a number holds this ticket, by reading it.
  /// @param own_write whether this process is known to have written it.
  std::optional<Acceptance> CheckOutcome(const ticket::Ticket& ticket,
                                         std::string_view text, bool own_write,
                                         Reason& reason);

  consul::StoreClient client_;
};

}  // namespace cowslip::registry
