#include <algorithm>

#include "cowslip/relay/node.h"

namespace cowslip::relay {
namespace {

/// Peers sent to a leaf, which receives no instance records.
constexpr std::size_t kMaxListedPeers = 8;

}  // namespace

bool Node::ApplyTicket(const TicketText& text, Effects& effects) {
  const auto previous = tickets_.position();
  LastReason<ticket::TicketError> reason;
  const bool applied = tickets_.Apply(text, reason);
  ReportChange(previous, text.number, reason, effects);
  return applied;
}

void Node::ReportChange(const TicketPosition& previous, TicketNumber applied,
                        const LastReason<ticket::TicketError>& reason,
                        Effects& effects) {
  if (!reason.ok()) effects.rejected.push_back({applied, reason.Message()});
  const auto present = tickets_.position();
  if (present == previous) return;
  effects.in_force.push_back(present.number);
  const bool replaced =
      present.era != previous.era && previous.number != TicketNumber{};
  if (replaced) effects.replaced.push_back({previous, present});
}

void Node::PushTickets(StreamId id, Stream& stream, Effects& effects) {
  if (!stream.ready || stream.ticket >= tickets_.position()) return;
  for (const auto& text : tickets_.ChangesSince(stream.ticket)) {
    effects.Send(id, text);
  }
  stream.ticket = tickets_.position();
}

void Node::PushEntry(const StoreEntry& entry, Effects& effects) {
  // A process that has only a part of the entries isn't a source for others.
  if (!options_.interest.all) return;
  for (auto& [id, stream] : streams_) {
    const bool wanted = stream.ready && entry.position > stream.position;
    if (!wanted || !stream.interest.Matches(entry)) continue;
    effects.Send(id, entry);
  }
}

void Node::PushEntries(StreamId id, Stream& stream, Effects& effects) {
  if (!options_.interest.all) return;
  for (const auto& entry :
       items_.ChangesSince(stream.position, stream.interest)) {
    effects.Send(id, entry);
  }
}

void Node::UpdatePeers(const StoreEntry& entry) {
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

void Node::SendHello(StreamId id, Effects& effects) {
  effects.Send(id, Hello{options_.self, tickets_.position(), items_.position(),
                         options_.interest, DistanceExcluding(id)});
}

void Node::SendPeers(StreamId id, const Stream& stream, Effects& effects) {
  if (stream.interest.all || stream.outgoing) return;
  auto listed =
      ParentCandidates(stream.peer, true, KnownPeers(), options_.shape);
  if (listed.size() > kMaxListedPeers) listed.resize(kMaxListedPeers);
  if (!listed.empty()) effects.Send(id, PeerList{listed});
}

void Node::Handle(StreamId id, Stream& stream, const Hello& hello,
                  Effects& effects) {
  stream.ready = true;
  stream.peer = hello.self;
  stream.interest = hello.interest;
  stream.ticket = hello.ticket;
  stream.position = hello.position;
  stream.hops = hello.store_distance;
  PushTickets(id, stream, effects);
  PushEntries(id, stream, effects);
  SendPeers(id, stream, effects);
}

void Node::Handle(StreamId id, Stream& stream, const Heartbeat& heartbeat,
                  Effects& effects) {
  stream.hops = heartbeat.store_distance;
  stream.ticket = std::max(stream.ticket, heartbeat.ticket);
  if (heartbeat.ticket > tickets_.position()) {
    effects.Send(id, TicketRequest{tickets_.position()});
  }
}

void Node::Handle(StreamId id, Stream& stream, const TicketRequest& want,
                  Effects& effects) {
  stream.ticket = want.ticket;
  PushTickets(id, stream, effects);
}

void Node::Handle(StreamId, Stream&, const PeerList& peers, Effects&) {
  own_rank_.reset();
  for (const auto& peer : peers.peers) reported_peers_[peer.instance] = peer;
}

void Node::Handle(StreamId id, Stream& stream, const TicketText& text,
                  Effects& effects) {
  stream.ticket = std::max(stream.ticket, text.position());
  if (ApplyTicket(text, effects)) {
    // A process that is nearer to the store receives the ticket from there. If
    // not, it asks for it after the next heartbeat.
    for (auto& [other, neighbour] : streams_) {
      const bool nearer = neighbour.hops < DistanceExcluding(other);
      if (!nearer) PushTickets(other, neighbour, effects);
    }
  } else if (text.position() > tickets_.position() &&
             effects.rejected.empty()) {
    effects.Send(id, TicketRequest{tickets_.position()});
  }
}

void Node::Handle(StreamId, Stream& stream, const StoreEntry& entry,
                  Effects& effects) {
  stream.position = std::max(stream.position, entry.position);
  const bool wanted = options_.interest.Matches(entry);
  if (!wanted || !items_.Apply(entry)) return;
  UpdatePeers(entry);
  effects.entries_changed = true;
  PushEntry(entry, effects);
}

}  // namespace cowslip::relay
