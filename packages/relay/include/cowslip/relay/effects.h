#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cowslip/relay/message.h"
#include "cowslip/relay/peer.h"

namespace cowslip::relay {

/// Identifies one stream to another process, in either direction.
enum class LinkId : std::uint64_t {};

/// Open a stream to a control endpoint; the caller then calls
/// Node::OnStreamUp() or Node::OnStreamDown().
struct OpenLink {
  LinkId link{};
  Endpoint control;
};

/// Send a message on an open stream.
struct SendMessage {
  LinkId link{};
  Message message;
};

/// Close a stream; no Node::OnStreamDown() follows.
struct CloseLink {
  LinkId link{};
};

/// Reports that the text of a ticket from the store or a peer was rejected. For
/// the log only.
struct RefuseTicket {
  TicketNumber number{};
  std::string reason;
};

/// Operations on the store that a node asks for.
struct StoreWishes {
  /// Watch all keys; every result goes to Node::OnListing().
  bool start_watch = false;
  bool stop_watch = false;
  /// List the data centre's instance records, for Node::OnPeersRead().
  bool read_peers = false;
  /// List the tickets once, for Node::OnListing().
  bool read_tickets = false;
};

/// Actions that a node asks its caller to carry out, in the order of the
/// members.
struct Effects {
  StoreWishes store;
  std::vector<OpenLink> opens;
  std::vector<SendMessage> messages;
  std::vector<CloseLink> closes;
  std::vector<RefuseTicket> refused;
  std::vector<TicketNumber> in_force;  ///< Tickets that were applied.
  bool items_changed = false;          ///< The StoreReplica has changed.

  /// Adds a message to a stream. @param message an alternative of Message.
  template <typename Typed>
  void Send(LinkId link, Typed message) {
    auto& entry = messages.emplace_back();
    entry.link = link;
    entry.message = std::move(message);
  }
  /// Removes all actions.
  void Clear() { *this = Effects{}; }
};

}  // namespace cowslip::relay
