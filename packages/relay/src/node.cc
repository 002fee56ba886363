#include "cowslip/relay/node.h"

#include <algorithm>

namespace cowslip::relay {

Node::Node(const NodeOptions& options, TimePoint now)
    : options_(options),
      random_(options.seed),
      retry_(options.min_retry),
      next_attempt_(now),
      next_move_(now),
      linked_at_(now),
      rooted_at_(now),
      notice_review_(now) {
  lonely_patience_ = Jitter(options_.store_fallback_delay);
  std::shuffle(options_.seeds.begin(), options_.seeds.end(), random_);
}

Duration Node::Jitter(Duration base) {
  std::uniform_real_distribution<double> factor(1.0, 2.0);
  return std::chrono::duration_cast<Duration>(base * factor(random_));
}

/// The way to the store that doesn't lead through a stream; telling only this
/// on the stream keeps two processes from relying on each other.
StoreDistance Node::DepthWithout(std::optional<StreamId> excluded) const {
  if (watching_ && store_heard_) return 0;
  StoreDistance best = kNoStorePath;
  for (const auto& [id, link] : links_) {
    if (id == excluded || !link.greeted || !link.interest.all) continue;
    if (link.store_distance < best)
      best = static_cast<StoreDistance>(link.store_distance + 1);
  }
  return best;
}

std::size_t Node::stream_count() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(),
                    [](const auto& item) { return item.second.up; }));
}

void Node::OnListing(const Listing& listing, bool complete, Effects& effects) {
  for (const auto& text : listing.tickets) ApplyTicket(text, effects);
  for (auto& [id, link] : links_) PushTickets(id, link, effects);
  if (!complete) return;
  store_heard_ = true;
  auto wanted = listing.items;
  std::erase_if(wanted, [this](const StoreEntry& item) {
    if (options_.interest.Matches(item)) return false;
    NoteItem(item);
    return true;
  });
  const auto news = items_.ApplyListing(std::move(wanted), listing.index);
  for (const auto& item : news) {
    NoteItem(item);
    PushItem(item, effects);
  }
  effects.entries_changed |= !news.empty();
}

void Node::OnStoreLost(Effects&) { store_heard_ = false; }

void Node::OnPeersRead(const std::vector<Peer>& peers) {
  peers_known_ = true;
  position_.reset();
  for (const auto& peer : peers) hearsay_[peer.instance] = peer;
}

void Node::OnStreamUp(StreamId id, bool outgoing, TimePoint now,
                      Effects& effects) {
  auto& link = links_[id];
  link.outgoing = outgoing;
  link.up = true;
  link.heard = now;
  link.beaten = now;
  SendHello(id, effects);
}

void Node::OnStreamDown(StreamId id, TimePoint now, Effects&) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const bool was_up = found->second.up;
  const bool outgoing = found->second.outgoing;
  links_.erase(found);
  if (!outgoing) return;
  if (was_up) {
    retry_ = options_.min_retry;
    attempt_ = 0;
  }
  next_attempt_ = now + Jitter(retry_);
}

void Node::OnMessage(StreamId id, const Message& message, TimePoint now,
                     Effects& effects) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  found->second.heard = now;
  std::visit(
      [&](const auto& typed) { Handle(id, found->second, typed, effects); },
      message);
}

void Node::OnTicketAnnounced(TicketNumber number, TimePoint now,
                             Effects& effects) {
  if (number <= tickets_.number() || number <= noticed_) return;
  noticed_ = number;
  noticed_at_ = now;
  notice_review_ = now + Jitter(options_.store_fallback_delay);
  for (const auto& [id, link] : links_) {
    if (link.greeted) {
      effects.Send(id, TicketRequest{tickets_.number()});
    }
  }
}

void Node::OnTick(TimePoint now, Effects& effects) {
  ReviewLinks(now, effects);
  ReviewWatch(now, effects);
  ReviewParents(now, effects);
  ReviewPlace(now, effects);
  ReviewNotice(now, effects);
}

std::vector<Peer> Node::KnownPeers() const {
  std::map<std::string, Peer> all = hearsay_;
  for (const auto& [key, peer] : peers_) all[peer.instance] = peer;
  std::vector<Peer> known;
  known.reserve(all.size());
  for (const auto& [name, peer] : all) known.push_back(peer);
  return known;
}

}  // namespace cowslip::relay
