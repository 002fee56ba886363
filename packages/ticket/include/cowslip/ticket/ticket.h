#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/ticket/service.h"
#include "cowslip/ticket/ticket_error.h"

namespace cowslip::ticket {

/// What a snapshot remembers of a ticket that it has replaced.
struct FoldedTicket {
  TicketNumber number{};
  std::string author;
  std::string note;
  std::string digest;  ///< @see TicketDigest

  bool operator==(const FoldedTicket&) const = default;
};

/// A numbered change: the whole new state of every service that it touches.
struct Ticket {
  TicketNumber number{};
  std::string author;
  std::string note;
  std::vector<Service> services;     ///< Created or replaced.
  std::vector<ServiceId> removed;    ///< Services that end.
  std::vector<FoldedTicket> folded;  ///< In a snapshot: the latest tickets.
};

/// @return XXH3 128-bit hash of a ticket's text, in hexadecimal.
std::string TicketDigest(std::string_view text);

/// Parses and checks one ticket on its own.
/// @param text YAML.
/// @param file named in the reason as "file:line: field".
std::optional<Ticket> ParseTicket(std::string_view text, std::string_view file,
                                  LastReason<TicketError>& reason);

class TicketState;

/// Parses one ticket and checks it against the state that it would change.
/// @return std::nullopt also if the ticket is the next one and names a service
///     that is not known, or a name or address that another service has.
std::optional<Ticket> ParseTicketAgainst(const TicketState& state,
                                         std::string_view text,
                                         std::string_view file,
                                         LastReason<TicketError>& reason);

/// Parses a snapshot, which may hold folded tickets.
std::optional<Ticket> ParseSnapshot(std::string_view text,
                                    std::string_view file,
                                    LastReason<TicketError>& reason);

/// @return YAML that ParseSnapshot reads back to an equal ticket; ParseTicket
///     does so too if there are no folded tickets.
std::string FormatTicket(const Ticket& ticket);

/// @return bytes that a service takes in FormatTicket.
std::size_t FormattedSize(const Service& service);

}  // namespace cowslip::ticket
