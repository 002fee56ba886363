#pragma once

#include <memory>
#include <vector>

#include "cowslip/membership.h"

namespace cowslip::testing {

/// @return a view of service 1 at the address, with upstreams 1 to `members` in
///     incarnation 1 whose sidecars are at 127.21.0.0 + id, port 7000.
inline membership::ViewPtr MakeSampleView(
    const Endpoint& address, std::uint32_t members,
    ticket::Protocol protocol = ticket::Protocol::kDatagram) {
  constexpr std::uint32_t kSidecars = 0x7f150000;
  constexpr std::uint16_t kPort = 7000;
  ticket::Service service;
  service.id = ServiceId(1);
  service.name = "sample";
  service.address = address;
  service.protocol = protocol;
  ticket::Ticket ticket;
  ticket.number = TicketNumber(1);
  ticket.services.push_back(service);
  std::vector<Upstream> upstreams;
  for (std::uint32_t i = 1; i <= members; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId(i);
    upstream.service = service.id;
    upstream.incarnation = Incarnation(1);
    upstream.sidecar = {kSidecars + i, kPort};
    upstreams.push_back(upstream);
  }
  return std::make_shared<membership::View>(
      1, ticket::TicketState::FromSnapshot(ticket), std::move(upstreams));
}

}  // namespace cowslip::testing
