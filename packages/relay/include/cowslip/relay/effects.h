#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cowslip/relay/message.h"
#include "cowslip/relay/peer.h"

namespace cowslip::relay {

/// Identifies one stream to another process, in either direction.
enum class StreamId : std::uint64_t {};

/// Open a stream to a control endpoint; the caller then calls
/// Node::OnStreamUp() or Node::OnStreamDown().
struct OpenStream {
  StreamId stream{};
  Endpoint control;
};

/// Send a message on an open stream.
struct SendMessage {
  StreamId stream{};
  Message message;
};

/// Close a stream; no Node::OnStreamDown() follows.
struct CloseStream {
  StreamId stream{};
};

/// Reports that the text of a ticket from the store or a peer was rejected. For
/// the log only.
struct RejectedTicket {
  TicketNumber number{};
  std::string reason;
};

/// Reports that tickets in force were replaced, because the store has lost them
/// and has others under their numbers. For the log only.
struct ReplacedTickets {
  TicketPosition previous;
  TicketPosition present;
};

/// Operations on the store that a node asks for.
struct StoreRequests {
  /// Watch all keys; every result goes to Node::OnListing().
  bool start_watch = false;
  bool stop_watch = false;
  /// Read all keys again at once, as if the watch had just started.
  bool read_again = false;
  /// List the data centre's instance records, for Node::OnPeersRead(). A
  /// process that is no leaf writes its own if it is missing.
  bool read_peers = false;
  /// List the tickets once, for Node::OnListing().
  bool read_tickets = false;
};

/// Actions that a node asks its caller to carry out, in the order of the
/// members.
struct Effects {
  StoreRequests store;
  std::vector<OpenStream> opens;
  std::vector<SendMessage> messages;
  std::vector<CloseStream> closes;
  std::vector<RejectedTicket> rejected;
  std::vector<TicketNumber> in_force;  ///< Tickets that were applied.
  bool entries_changed = false;        ///< The StoreReplica has changed.
  /// The store has come back from an older copy. For the log only.
  bool store_returned = false;
  TicketNumber stored_ticket{};  ///< The highest of a returned store.
  std::vector<ReplacedTickets> replaced;

  /// Adds a message to a stream. @param message an alternative of Message.
  template <typename Typed>
  void Send(StreamId stream, Typed message) {
    auto& entry = messages.emplace_back();
    entry.stream = stream;
    entry.message = std::move(message);
  }
  /// Removes all actions.
  void Clear() { *this = Effects{}; }
};

}  // namespace cowslip::relay
