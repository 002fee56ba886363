// Example of the ticket library: checks tickets and applies them to a state.

#include <iostream>

#include "cowslip/ticket.h"

namespace {

constexpr std::string_view kFirst = R"(ticket: 1
author: quispe
services:
  - {id: 1, name: custody, address: "10.51.0.101:5683", protocol: coap, prefer: balance}
)";
constexpr std::string_view kWrong = R"(ticket: 2
author: quispe
services:
  - {id: 2, name: dossier, address: "10.51.0.101:5683", protocol: coap, prefer: balance}
)";

/// Applies a ticket to the state. Prints whether it was accepted, or the error.
void Apply(cowslip::ticket::TicketState& state, std::string_view text,
           std::string_view file) {
  cowslip::LastReason<cowslip::ticket::TicketError> reason;
  const auto parsed = cowslip::ticket::ParseTicket(text, file, reason);
  auto next = parsed ? state.Apply(*parsed, reason) : std::nullopt;
  if (next) state = std::move(*next);
  std::cout << file << ": " << (next ? "accepted" : reason.Message()) << "\n";
}

}  // namespace

int main() {
  cowslip::ticket::TicketState state;
  Apply(state, kFirst, "ticket-1.yaml");
  Apply(state, kWrong, "ticket-2.yaml");
  std::cout << "in force: " << Raw(state.number()) << "\n";
}
