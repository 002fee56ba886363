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

/// Number of streams between a process and the nearest one that reads the
/// store; kNoStorePath if no stream leads to one.
using StoreDistance = std::uint8_t;
/// No stream leads to a process that reads the store. Also the limit of the
/// distance.
inline constexpr StoreDistance kNoStorePath = 16;

/// First message on every stream, in both directions: the sender's identity,
/// the state it has, and the entries it wants to receive.
struct Hello {
  Peer self;
  TicketPosition ticket;   ///< In force at the sender.
  StorePosition position;  ///< StoreReplica::position() of the sender.
  Subscription interest;
  StoreDistance store_distance =
      kNoStorePath;  ///< Of the sender, without this stream.

  bool operator==(const Hello&) const = default;
};

/// Periodic message with the sender's ticket number and store distance.
struct Heartbeat {
  TicketPosition ticket;
  StoreDistance store_distance = kNoStorePath;

  bool operator==(const Heartbeat&) const = default;
};

/// Asks the receiver for all tickets after the sender's.
struct TicketRequest {
  TicketPosition ticket;

  bool operator==(const TicketRequest&) const = default;
};

/// Processes that the receiver can open streams to later.
struct PeerList {
  std::vector<Peer> peers;

  bool operator==(const PeerList&) const = default;
};

/// Any message on a stream between two nodes.
using Message = std::variant<Hello, Heartbeat, TicketRequest, PeerList,
                             TicketText, StoreEntry>;

}  // namespace cowslip::relay
