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

void Node::PushTickets(LinkId id, Stream& stream, Effects& effects) {
  if (!stream.ready || stream.ticket >= tickets_.number()) return;
  for (const auto& text : tickets_.Since(stream.ticket)) {
    effects.Send(id, text);
  }
  stream.ticket = tickets_.number();
}

void Node::PushEntry(const Item& entry, Effects& effects) {
  // A process that has only a part of the entries isn't a source for others.
  if (!options_.interest.everything) return;
  for (auto& [id, stream] : streams_) {
    const bool wanted = stream.ready && entry.index > stream.index;
    if (!wanted || !stream.interest.Covers(entry)) continue;
    effects.Send(id, entry);
  }
}

void Node::PushEntries(LinkId id, Stream& stream, Effects& effects) {
  if (!options_.interest.everything) return;
  for (const auto& entry : items_.Since(stream.index, stream.interest)) {
    effects.Send(id, entry);
  }
}

void Node::UpdatePeers(const Item& entry) {
  if (!entry.key.starts_with(InstancePrefix())) return;
  own_rank_.reset();
  LastReason<RelayError> reason;
  const auto peer = DecodePeer(entry.value, reason);
  if (peer) {
    peers_[entry.key] = *peer;
    return;
  }
  const auto deleted = peers_.find(entry.key);
  if (deleted == peers_.end()) return;
  reported_peers_.erase(deleted->second.instance);
  peers_.erase(deleted);
}

void Node::SendHello(LinkId id, Effects& effects) {
  effects.Send(id, Hello{options_.self, tickets_.number(), items_.index(),
                         options_.interest, DistanceExcluding(id)});
}

void Node::SendPeers(LinkId id, const Stream& stream, Effects& effects) {
  if (stream.interest.everything || stream.outgoing) return;
  auto listed =
      ParentCandidates(stream.peer, true, KnownPeers(), options_.shape);
  if (listed.size() > kMaxListedPeers) listed.resize(kMaxListedPeers);
  if (!listed.empty()) effects.Send(id, Peers{listed});
}

void Node::Handle(LinkId id, Stream& stream, const Hello& hello,
                  Effects& effects) {
  stream.ready = true;
  stream.peer = hello.self;
  stream.interest = hello.interest;
  stream.ticket = hello.ticket;
  stream.index = hello.index;
  stream.depth = hello.depth;
  PushTickets(id, stream, effects);
  PushEntries(id, stream, effects);
  SendPeers(id, stream, effects);
}

void Node::Handle(LinkId id, Stream& stream, const Beat& heartbeat,
                  Effects& effects) {
  stream.depth = heartbeat.depth;
  stream.ticket = std::max(stream.ticket, heartbeat.ticket);
  if (heartbeat.ticket > tickets_.number()) {
    effects.Send(id, Want{tickets_.number()});
  }
}

void Node::Handle(LinkId id, Stream& stream, const Want& want,
                  Effects& effects) {
  stream.ticket = want.ticket;
  PushTickets(id, stream, effects);
}

void Node::Handle(LinkId, Stream&, const Peers& peers, Effects&) {
  own_rank_.reset();
  for (const auto& peer : peers.peers) reported_peers_[peer.instance] = peer;
}

void Node::Handle(LinkId id, Stream& stream, const TicketText& text,
                  Effects& effects) {
  stream.ticket = std::max(stream.ticket, text.number);
  if (ApplyTicket(text, effects)) {
    // A process that is nearer to the store receives the ticket from there. If
    // not, it asks for it after the next heartbeat.
    for (auto& [other, neighbour] : streams_) {
      const bool nearer = neighbour.depth < DistanceExcluding(other);
      if (!nearer) PushTickets(other, neighbour, effects);
    }
  } else if (text.number > tickets_.number() && effects.refused.empty()) {
    effects.Send(id, Want{tickets_.number()});
  }
}

void Node::Handle(LinkId, Stream& stream, const Item& entry, Effects& effects) {
  stream.index = std::max(stream.index, entry.index);
  const bool wanted = options_.interest.Covers(entry);
  if (!wanted || !items_.Apply(entry)) return;
  UpdatePeers(entry);
  effects.items_changed = true;
  PushEntry(entry, effects);
}

}  // namespace cowslip::relay
