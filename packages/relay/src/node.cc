#include "cowslip/relay/node.h"

#include <algorithm>

namespace cowslip::relay {
namespace {

TicketNumber HighestNumber(const std::vector<TicketText>& tickets) {
  TicketNumber highest{};
  for (const auto& text : tickets) highest = std::max(highest, text.number);
  return highest;
}

}  // namespace

Node::Node(const NodeOptions& options, TimePoint now)
    : options_(options),
      random_(options.seed),
      retry_delay_(options.min_retry),
      next_open_(now),
      next_reparent_(now),
      last_connected_(now),
      last_store_path_(now),
      next_ticket_read_(now),
      next_record_check_(now + options.max_retry) {
  unconnected_timeout_ = AddJitter(options_.store_fallback_delay);
  std::shuffle(options_.seeds.begin(), options_.seeds.end(), random_);
}

Duration Node::AddJitter(Duration base) {
  std::uniform_real_distribution<double> factor(1.0, 2.0);
  return std::chrono::duration_cast<Duration>(base * factor(random_));
}

/// Store distance by paths that don't lead through one stream. Only this
/// distance is sent on that stream, so that two processes never rely on each
/// other's path (split horizon).
StoreDistance Node::DistanceExcluding(std::optional<StreamId> except) const {
  if (watching_ && store_answered_) return 0;
  StoreDistance best = kNoStorePath;
  for (const auto& [id, stream] : streams_) {
    if (id == except || !stream.ready || !stream.interest.all) continue;
    if (stream.hops < best) best = static_cast<StoreDistance>(stream.hops + 1);
  }
  return best;
}

std::size_t Node::stream_count() const {
  return static_cast<std::size_t>(
      std::count_if(streams_.begin(), streams_.end(),
                    [](const auto& entry) { return entry.second.up; }));
}

void Node::OnListing(const Listing& listing, bool complete, Effects& effects) {
  ApplyStoredTickets(listing.tickets, complete, effects);
  for (auto& [id, stream] : streams_) PushTickets(id, stream, effects);
  if (!complete) {
    ForgetMissingTicket(listing.tickets);
    return;
  }
  store_answered_ = true;
  auto selected = listing.items;
  std::erase_if(selected, [this](const StoreEntry& entry) {
    if (options_.interest.Matches(entry)) return false;
    UpdatePeers(entry);
    return true;
  });
  const auto era = returns_.EraOf(listing, items_);
  effects.store.read_again |= returns_.uncertain();
  if (era > items_.position().era) {
    effects.store_returned = true;
    effects.stored_ticket = HighestNumber(listing.tickets);
  }
  const auto changed =
      items_.ApplyListing(std::move(selected), {era, listing.index});
  for (const auto& entry : changed) {
    UpdatePeers(entry);
    PushEntry(entry, effects);
  }
  effects.entries_changed |= !changed.empty();
}

/// The store has lost tickets that are in force if it has others under their
/// numbers. If it has none there, the lost ones stay in force.
void Node::ApplyStoredTickets(const std::vector<TicketText>& stored,
                              bool complete, Effects& effects) {
  if (!tickets_.Contradicts(stored)) {
    contradicted_.reset();
    for (const auto& text : stored) {
      const auto previous = tickets_.position();
      LastReason<ticket::TicketError> reason;
      tickets_.ApplyStored(text, reason);
      ReportChange(previous, text.number, reason, effects);
    }
    return;
  }
  const auto previous = tickets_.position();
  // The read may have begun before a peer sent the tickets in force.
  if (contradicted_ != previous) {
    contradicted_ = previous;
    (complete ? effects.store.read_again : effects.store.read_tickets) = true;
    return;
  }
  contradicted_.reset();
  LastReason<ticket::TicketError> reason;
  tickets_.ReplaceWith(stored, reason);
  const TicketNumber next{Raw(tickets_.number()) + 1};
  ReportChange(previous, next, reason, effects);
}

void Node::ForgetMissingTicket(const std::vector<TicketText>& stored) {
  const auto highest = std::max(tickets_.number(), HighestNumber(stored));
  if (requested_ticket_ > highest) lost_ticket_ = requested_ticket_;
  if (noticed_ticket_ <= lost_ticket_) noticed_ticket_ = {};
}

void Node::OnStoreLost(Effects&) { store_answered_ = false; }

void Node::OnPeersRead(const std::vector<Peer>& peers) {
  peers_read_ = true;
  own_rank_.reset();
  for (const auto& peer : peers) reported_peers_[peer.instance] = peer;
}

void Node::OnStreamUp(StreamId id, bool outgoing, TimePoint now,
                      Effects& effects) {
  auto& stream = streams_[id];
  stream.outgoing = outgoing;
  stream.up = true;
  stream.last_seen = now;
  stream.last_heartbeat = now;
  SendHello(id, effects);
}

void Node::OnStreamDown(StreamId id, TimePoint now, Effects&) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  const bool was_up = found->second.up;
  const bool outgoing = found->second.outgoing;
  streams_.erase(found);
  if (!outgoing) return;
  if (was_up) {
    retry_delay_ = options_.min_retry;
    next_candidate_ = 0;
  }
  next_open_ = now + AddJitter(retry_delay_);
}

void Node::OnMessage(StreamId id, const Message& message, TimePoint now,
                     Effects& effects) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) return;
  found->second.last_seen = now;
  std::visit(
      [&](const auto& typed) { Handle(id, found->second, typed, effects); },
      message);
}

void Node::OnTicketAnnounced(TicketNumber number, TimePoint now,
                             Effects& effects) {
  const auto known =
      std::max({tickets_.number(), noticed_ticket_, lost_ticket_});
  if (number <= known) return;
  noticed_ticket_ = number;
  noticed_at_ = now;
  next_ticket_read_ = now + AddJitter(options_.store_fallback_delay);
  for (const auto& [id, stream] : streams_) {
    if (stream.ready) {
      effects.Send(id, TicketRequest{tickets_.position()});
    }
  }
}

void Node::OnTick(TimePoint now, Effects& effects) {
  MaintainStreams(now, effects);
  StartOrStopWatch(now, effects);
  CheckOwnRecord(now, effects);
  OpenMissingStream(now, effects);
  OpenPreferredStream(now, effects);
  ReadMissingTicket(now, effects);
}

std::vector<Peer> Node::KnownPeers() const {
  std::map<std::string, Peer> all = reported_peers_;
  for (const auto& [key, peer] : peers_) all[peer.instance] = peer;
  std::vector<Peer> result;
  result.reserve(all.size());
  for (const auto& [name, peer] : all) result.push_back(peer);
  return result;
}

}  // namespace cowslip::relay
