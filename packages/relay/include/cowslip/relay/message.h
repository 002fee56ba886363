#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/relay/item.h"
#include "cowslip/relay/peer.h"
#include "cowslip/relay/ticket_log.h"

namespace cowslip::relay {

/// Hops to a process that hears the store; kUnrooted if there is none.
using Depth = std::uint8_t;
inline constexpr Depth kUnrooted = 16;

/// First on every stream, both ways: who I am, what I have, what I want.
struct Hello {
  Peer self;
  TicketNumber ticket{};
  std::uint64_t index = 0;
  Interest interest;
  Depth depth = kUnrooted;

  bool operator==(const Hello&) const = default;
};

/// Sent at intervals: I am alive, and this is what I have.
struct Beat {
  TicketNumber ticket{};
  Depth depth = kUnrooted;

  bool operator==(const Beat&) const = default;
};

/// Asks for what came after a ticket.
struct Want {
  TicketNumber ticket{};

  bool operator==(const Want&) const = default;
};

/// Names processes that the receiver may follow later.
struct Peers {
  std::vector<Peer> peers;

  bool operator==(const Peers&) const = default;
};

using Message = std::variant<Hello, Beat, Want, Peers, TicketText, Item>;

}  // namespace cowslip::relay
