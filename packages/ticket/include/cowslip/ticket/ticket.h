#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/ticket/service.h"
#include "cowslip/ticket/ticket_error.h"

namespace cowslip::ticket {

/// A numbered change: the whole new state of every service that it touches.
struct Ticket {
  TicketNumber number{};
  std::string author;
  std::string note;
  std::vector<Service> services;   ///< Created or replaced.
  std::vector<ServiceId> removed;  ///< Services that end.
};

/// Parses and checks one ticket on its own.
/// @param text YAML.
/// @param file named in the reason as "file:line: field".
std::optional<Ticket> ParseTicket(std::string_view text, std::string_view file,
                                  LastReason<TicketError>& reason);

/// @return YAML that ParseTicket reads back to an equal ticket.
std::string FormatTicket(const Ticket& ticket);

}  // namespace cowslip::ticket
