#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cowslip/relay/message.h"
#include "cowslip/relay/peer.h"

namespace cowslip::relay {

/// Names one stream to another process.
enum class LinkId : std::uint64_t {};

/// Open a stream to a control endpoint; OnLinkUp or OnLinkDown follows.
struct OpenLink {
  LinkId link{};
  Endpoint control;
};

/// Send a message on an open stream.
struct SendMessage {
  LinkId link{};
  Message message;
};

/// Close a stream; no event follows.
struct CloseLink {
  LinkId link{};
};

/// A text that came from the store or a peer was refused.
struct RefuseTicket {
  TicketNumber number{};
  std::string reason;
};

/// What the process asks of the store.
struct StoreWishes {
  bool start_watch = false;   ///< Watch everything; OnListing follows.
  bool stop_watch = false;    ///< End the watch.
  bool read_peers = false;    ///< List the data centre; OnPeersRead follows.
  bool read_tickets = false;  ///< List once; OnListing follows.
};

/// What a node wants done, in the order of the members.
struct Effects {
  StoreWishes store;
  std::vector<OpenLink> opens;
  std::vector<SendMessage> messages;
  std::vector<CloseLink> closes;
  std::vector<RefuseTicket> refused;
  std::vector<TicketNumber> in_force;  ///< Tickets that came into force.
  bool items_changed = false;

  /// @param message one of the alternatives of Message.
  template <typename Typed>
  void Send(LinkId link, Typed message) {
    auto& entry = messages.emplace_back();
    entry.link = link;
    entry.message = std::move(message);
  }
  void Clear() { *this = Effects{}; }
};

}  // namespace cowslip::relay
