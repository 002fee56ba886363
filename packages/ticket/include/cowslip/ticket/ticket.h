#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/ticket/service.h"
#include "cowslip/ticket/ticket_error.h"

namespace cowslip::ticket {

/// Summary of a ticket that a snapshot has replaced.
struct FoldedTicket {
  TicketNumber number{};
  std::string author;
  std::string note;
  std::string digest;  ///< @see TicketDigest

  bool operator==(const FoldedTicket&) const = default;
};

/// A numbered change of the configuration. It states the complete new
/// configuration of every service that it creates or replaces.
struct Ticket {
  TicketNumber number{};
  std::string author;
  std::string note;
  std::vector<Service> services;     ///< Created or replaced.
  std::vector<ServiceId> removed;    ///< Services to remove.
  std::vector<FoldedTicket> folded;  ///< Snapshots only: replaced tickets.
};

/// @return the XXH3 128-bit hash of a ticket's text, in hexadecimal.
std::string TicketDigest(std::string_view text);

/// @return the summary of a ticket, with a bounded note.
/// @param text the ticket's text.
FoldedTicket Summarize(const Ticket& ticket, std::string_view text);

/// Parses one ticket and checks it without regard to other tickets.
/// @param text YAML.
/// @param file name of the file for the reason, which has the form
///     "file:line: field".
std::optional<Ticket> ParseTicket(std::string_view text, std::string_view file,
                                  LastReason<TicketError>& reason);

class TicketState;

/// Parses one ticket and checks it against the state that it would change.
/// @return std::nullopt also if the ticket is the next one and removes an
///     unknown service, or uses the name or address of another service.
std::optional<Ticket> ParseTicketAgainst(const TicketState& state,
                                         std::string_view text,
                                         std::string_view file,
                                         LastReason<TicketError>& reason);

/// Parses a snapshot: a ticket that may also have folded tickets.
std::optional<Ticket> ParseSnapshot(std::string_view text,
                                    std::string_view file,
                                    LastReason<TicketError>& reason);

/// @return the ticket as YAML, from which ParseSnapshot restores an equal
///     ticket; ParseTicket does too if there are no folded tickets.
std::string FormatTicket(const Ticket& ticket);

/// @return the size of a service in the result of FormatTicket, in bytes.
std::size_t FormattedSize(const Service& service);

}  // namespace cowslip::ticket
