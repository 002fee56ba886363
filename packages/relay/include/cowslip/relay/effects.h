#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cowslip/relay/message.h"
#include "cowslip/relay/peer.h"

namespace cowslip::relay {

/// Names one stream to another process.
enum class StreamId : std::uint64_t {};

/// Open a stream to a control endpoint; OnStreamUp or OnStreamDown follows.
struct OpenStream {
  StreamId stream{};
  Endpoint control;
};

/// Send a message on an open stream.
struct SendMessage {
  StreamId stream{};
  Message message;
};

/// Close a stream; no event follows.
struct CloseStream {
  StreamId stream{};
};

/// A text that came from the store or a peer was refused.
struct RejectedTicket {
  TicketNumber number{};
  std::string reason;
};

/// What the process asks of the store.
struct StoreRequests {
  bool start_watch = false;   ///< Watch everything; OnListing follows.
  bool stop_watch = false;    ///< End the watch.
  bool read_peers = false;    ///< List the data centre; OnPeersRead follows.
  bool read_tickets = false;  ///< List once; OnListing follows.
};

/// What a node wants done, in the order of the members.
struct Effects {
  StoreRequests store;
  std::vector<OpenStream> opens;
  std::vector<SendMessage> messages;
  std::vector<CloseStream> closes;
  std::vector<RejectedTicket> rejected_tickets;
  std::vector<TicketNumber> in_force;  ///< Tickets that came into force.
  bool entries_changed = false;

  /// @param message one of the alternatives of Message.
  template <typename Typed>
  void Send(StreamId stream, Typed message) {
    auto& entry = messages.emplace_back();
    entry.stream = stream;
    entry.message = std::move(message);
  }
  void Clear() { *this = Effects{}; }
};

}  // namespace cowslip::relay
