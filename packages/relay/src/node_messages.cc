#include <algorithm>

#include "cowslip/relay/node.h"

namespace cowslip::relay {
namespace {

/// Peers sent to a leaf, which receives no instance records.
constexpr std::size_t kMaxListedPeers = 8;

}  // namespace

bool Node::ApplyTicket(const TicketText& text, Effects& effects) {
  LastReason<ticket::TicketError> reason;
  if (tickets_.Apply(text, reason)) {
    effects.in_force.push_back(text.number);
    return true;
  }
  if (!reason.ok()) effects.refused.push_back({text.number, reason.Message()});
  return false;
}

void Node::PushTickets(LinkId id, Link& link, Effects& effects) {
  if (!link.ready || link.ticket >= tickets_.number()) return;
  for (const auto& text : tickets_.Since(link.ticket)) {
    effects.Send(id, text);
  }
  link.ticket = tickets_.number();
}

void Node::PushItem(const Item& item, Effects& effects) {
  // A process that has only a part of the items isn't a source for others.
  if (!options_.interest.everything) return;
  for (auto& [id, link] : links_) {
    const bool wanted = link.ready && item.index > link.index;
    if (!wanted || !link.interest.Covers(item)) continue;
    effects.Send(id, item);
  }
}

void Node::PushItems(LinkId id, Link& link, Effects& effects) {
  if (!options_.interest.everything) return;
  for (const auto& item : items_.Since(link.index, link.interest)) {
    effects.Send(id, item);
  }
}

void Node::UpdatePeers(const Item& item) {
  if (!item.key.starts_with(InstancePrefix())) return;
  own_rank_.reset();
  LastReason<RelayError> reason;
  const auto peer = DecodePeer(item.value, reason);
  if (peer) {
    peers_[item.key] = *peer;
    return;
  }
  const auto deleted = peers_.find(item.key);
  if (deleted == peers_.end()) return;
  reported_peers_.erase(deleted->second.instance);
  peers_.erase(deleted);
}

void Node::SendHello(LinkId id, Effects& effects) {
  effects.Send(id, Hello{options_.self, tickets_.number(), items_.index(),
                         options_.interest, DepthExcluding(id)});
}

void Node::SendPeers(LinkId id, const Link& link, Effects& effects) {
  if (link.interest.everything || link.outgoing) return;
  auto listed = ParentCandidates(link.peer, true, KnownPeers(), options_.shape);
  if (listed.size() > kMaxListedPeers) listed.resize(kMaxListedPeers);
  if (!listed.empty()) effects.Send(id, Peers{listed});
}

void Node::Handle(LinkId id, Link& link, const Hello& hello, Effects& effects) {
  link.ready = true;
  link.peer = hello.self;
  link.interest = hello.interest;
  link.ticket = hello.ticket;
  link.index = hello.index;
  link.depth = hello.depth;
  PushTickets(id, link, effects);
  PushItems(id, link, effects);
  SendPeers(id, link, effects);
}

void Node::Handle(LinkId id, Link& link, const Beat& beat, Effects& effects) {
  link.depth = beat.depth;
  link.ticket = std::max(link.ticket, beat.ticket);
  if (beat.ticket > tickets_.number()) {
    effects.Send(id, Want{tickets_.number()});
  }
}

void Node::Handle(LinkId id, Link& link, const Want& want, Effects& effects) {
  link.ticket = want.ticket;
  PushTickets(id, link, effects);
}

void Node::Handle(LinkId, Link&, const Peers& peers, Effects&) {
  own_rank_.reset();
  for (const auto& peer : peers.peers) reported_peers_[peer.instance] = peer;
}

void Node::Handle(LinkId id, Link& link, const TicketText& text,
                  Effects& effects) {
  link.ticket = std::max(link.ticket, text.number);
  if (ApplyTicket(text, effects)) {
    // A process that is nearer to the store receives the ticket from there. If
    // not, it asks for it after the next Beat.
    for (auto& [other, neighbour] : links_) {
      const bool nearer = neighbour.depth < DepthExcluding(other);
      if (!nearer) PushTickets(other, neighbour, effects);
    }
  } else if (text.number > tickets_.number() && effects.refused.empty()) {
    effects.Send(id, Want{tickets_.number()});
  }
}

void Node::Handle(LinkId, Link& link, const Item& item, Effects& effects) {
  link.index = std::max(link.index, item.index);
  const bool wanted = options_.interest.Covers(item);
  if (!wanted || !items_.Apply(item)) return;
  UpdatePeers(item);
  effects.items_changed = true;
  PushItem(item, effects);
}

}  // namespace cowslip::relay
