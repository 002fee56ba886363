#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/relay/peer.h"
#include "cowslip/relay/store_entry.h"
#include "cowslip/relay/ticket_log.h"

namespace cowslip::relay {

/// Hops to a process that hears the store; kNoStorePath if there is none.
using StoreDistance = std::uint8_t;
inline constexpr StoreDistance kNoStorePath = 16;

/// First on every stream, both ways: who I am, what I have, what I want.
struct Hello {
  Peer self;
  TicketNumber ticket{};
  std::uint64_t index = 0;
  Subscription interest;
  StoreDistance store_distance = kNoStorePath;

  bool operator==(const Hello&) const = default;
};

/// Sent at intervals: I am alive, and this is what I have.
struct Heartbeat {
  TicketNumber ticket{};
  StoreDistance store_distance = kNoStorePath;

  bool operator==(const Heartbeat&) const = default;
};

/// Asks for what came after a ticket.
struct TicketRequest {
  TicketNumber ticket{};

  bool operator==(const TicketRequest&) const = default;
};

/// Names processes that the receiver may follow later.
struct PeerList {
  std::vector<Peer> peers;

  bool operator==(const PeerList&) const = default;
};

using Message = std::variant<Hello, Heartbeat, TicketRequest, PeerList,
                             TicketText, StoreEntry>;

}  // namespace cowslip::relay
