#include <algorithm>

#include "cowslip/relay/node.h"

namespace cowslip::relay {
namespace {

/// Peers named to a follower that keeps no list of its own.
constexpr std::size_t kNamedPeers = 8;

}  // namespace

bool Node::ApplyTicket(const TicketText& text, Effects& effects) {
  LastReason<ticket::TicketError> reason;
  if (tickets_.Apply(text, reason)) {
    effects.in_force.push_back(text.number);
    return true;
  }
  if (!reason.ok())
    effects.rejected_tickets.push_back({text.number, reason.Message()});
  return false;
}

void Node::PushTickets(StreamId id, Link& link, Effects& effects) {
  if (!link.greeted || link.ticket >= tickets_.number()) return;
  for (const auto& text : tickets_.ChangesSince(link.ticket)) {
    effects.Send(id, text);
  }
  link.ticket = tickets_.number();
}

void Node::PushItem(const StoreEntry& item, Effects& effects) {
  // A process that keeps a part of the items can't bring others up to date.
  if (!options_.interest.all) return;
  for (auto& [id, link] : links_) {
    const bool wanted = link.greeted && item.index > link.index;
    if (!wanted || !link.interest.Matches(item)) continue;
    effects.Send(id, item);
  }
}

void Node::PushItems(StreamId id, Link& link, Effects& effects) {
  if (!options_.interest.all) return;
  for (const auto& item : items_.ChangesSince(link.index, link.interest)) {
    effects.Send(id, item);
  }
}

void Node::NoteItem(const StoreEntry& item) {
  if (!item.key.starts_with(InstancePrefix())) return;
  position_.reset();
  LastReason<RelayError> reason;
  const auto peer = DecodePeer(item.value, reason);
  if (peer) {
    peers_[item.key] = *peer;
    return;
  }
  const auto gone = peers_.find(item.key);
  if (gone == peers_.end()) return;
  hearsay_.erase(gone->second.instance);
  peers_.erase(gone);
}

void Node::SendHello(StreamId id, Effects& effects) {
  effects.Send(id, Hello{options_.self, tickets_.number(), items_.index(),
                         options_.interest, DepthWithout(id)});
}

void Node::SendPeers(StreamId id, const Link& link, Effects& effects) {
  if (link.interest.all || link.outgoing) return;
  auto named = ParentCandidates(link.peer, true, KnownPeers(), options_.shape);
  if (named.size() > kNamedPeers) named.resize(kNamedPeers);
  if (!named.empty()) effects.Send(id, PeerList{named});
}

void Node::Handle(StreamId id, Link& link, const Hello& hello,
                  Effects& effects) {
  link.greeted = true;
  link.peer = hello.self;
  link.interest = hello.interest;
  link.ticket = hello.ticket;
  link.index = hello.index;
  link.store_distance = hello.store_distance;
  PushTickets(id, link, effects);
  PushItems(id, link, effects);
  SendPeers(id, link, effects);
}

void Node::Handle(StreamId id, Link& link, const Heartbeat& beat,
                  Effects& effects) {
  link.store_distance = beat.store_distance;
  link.ticket = std::max(link.ticket, beat.ticket);
  if (beat.ticket > tickets_.number()) {
    effects.Send(id, TicketRequest{tickets_.number()});
  }
}

void Node::Handle(StreamId id, Link& link, const TicketRequest& want,
                  Effects& effects) {
  link.ticket = want.ticket;
  PushTickets(id, link, effects);
}

void Node::Handle(StreamId, Link&, const PeerList& peers, Effects&) {
  position_.reset();
  for (const auto& peer : peers.peers) hearsay_[peer.instance] = peer;
}

void Node::Handle(StreamId id, Link& link, const TicketText& text,
                  Effects& effects) {
  link.ticket = std::max(link.ticket, text.number);
  if (ApplyTicket(text, effects)) {
    // Whoever is nearer to the store hears of it from there, and else asks
    // after the next beat.
    for (auto& [other, neighbour] : links_) {
      const bool nearer = neighbour.store_distance < DepthWithout(other);
      if (!nearer) PushTickets(other, neighbour, effects);
    }
  } else if (text.number > tickets_.number() &&
             effects.rejected_tickets.empty()) {
    effects.Send(id, TicketRequest{tickets_.number()});
  }
}

void Node::Handle(StreamId, Link& link, const StoreEntry& item,
                  Effects& effects) {
  link.index = std::max(link.index, item.index);
  const bool wanted = options_.interest.Matches(item);
  if (!wanted || !items_.Apply(item)) return;
  NoteItem(item);
  effects.entries_changed = true;
  PushItem(item, effects);
}

}  // namespace cowslip::relay
