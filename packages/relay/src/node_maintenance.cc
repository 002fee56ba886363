#include <algorithm>

#include "cowslip/relay/node.h"

namespace cowslip::relay {
namespace {

/// Streams that may wait for an answer at the same time.
constexpr std::size_t kMaxPending = 3;

}  // namespace

/// @return streams that this process opened or is opening.
std::size_t Node::outgoing() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(),
                    [](const auto& item) { return item.second.outgoing; }));
}

/// @return those of them whose other end has said hello.
std::size_t Node::parents() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const auto& item) {
        return item.second.outgoing && item.second.greeted;
      }));
}

bool Node::IsLinked(const Endpoint& control) const {
  if (control == options_.self.control) return true;
  return std::any_of(links_.begin(), links_.end(), [&](const auto& item) {
    const auto& link = item.second;
    return link.control == control ||
           (link.greeted && link.peer.control == control);
  });
}

/// Gives up silent streams and sends what is due on the others.
void Node::ReviewLinks(TimePoint now, Effects& effects) {
  std::vector<StreamId> silent;
  for (auto& [id, link] : links_) {
    if (!link.up) continue;
    if (now - link.heard > options_.stream_timeout) silent.push_back(id);
    if (now - link.beaten < options_.heartbeat_interval) continue;
    link.beaten = now;
    effects.Send(id, Heartbeat{tickets_.number(), DepthWithout(id)});
  }
  for (const auto id : silent) {
    effects.closes.push_back({id});
    OnStreamDown(id, now, effects);
  }
  if (stream_count() > 0 || store_distance() == 0) linked_at_ = now;
  if (store_distance() < kNoStorePath) rooted_at_ = now;
}

/// Those that rank first watch at once. Of the others, ever larger groups
/// step up, in the order of their rank, the longer nobody hears the store:
/// the group doubles its patience, so that an outage isn't answered by all.
bool Node::ShouldWatch(TimePoint now) {
  if (now - linked_at_ > lonely_patience_) return true;
  if (options_.leaf) return false;
  if (!position_) {
    position_ = PeerRanking(options_.self, KnownPeers()).rank();
  }
  const auto group = *position_ / options_.shape.watchers;
  if (group == 0) return peers_known_;
  constexpr std::size_t kMaxGroup = 20;
  const auto patience =
      options_.store_fallback_delay * (1LL << std::min(group, kMaxGroup));
  return now - rooted_at_ > patience;
}

void Node::ReviewWatch(TimePoint now, Effects& effects) {
  const bool may_wait = options_.leaf && !options_.seeds.empty();
  const bool due =
      !may_wait || now - linked_at_ > options_.store_fallback_delay / 2;
  if (!peers_asked_ && due) {
    peers_asked_ = true;
    effects.store.read_peers = true;
  }
  const bool wanted = ShouldWatch(now);
  if (wanted && !watching_) {
    watching_ = true;
    effects.store.start_watch = true;
  }
  if (!watching_ || wanted) return;
  watching_ = false;
  if (store_distance() == kNoStorePath) {
    watching_ = true;
  } else {
    store_heard_ = false;
    effects.store.stop_watch = true;
  }
}

std::vector<Endpoint> Node::Candidates() const {
  std::vector<Endpoint> candidates;
  const auto add = [&](const Endpoint& control) {
    const auto end = candidates.end();
    if (std::find(candidates.begin(), end, control) == end) {
      candidates.push_back(control);
    }
  };
  for (const auto& peer : ParentCandidates(options_.self, options_.leaf,
                                           KnownPeers(), options_.shape)) {
    add(peer.control);
  }
  for (const auto& seed : options_.seeds) add(seed);
  std::erase_if(candidates,
                [this](const auto& control) { return IsLinked(control); });
  return candidates;
}

/// @return the control endpoints that this process should follow.
std::vector<Endpoint> Node::Preferred() const {
  std::vector<Endpoint> preferred;
  for (const auto& peer : ParentCandidates(options_.self, options_.leaf,
                                           KnownPeers(), options_.shape)) {
    if (preferred.size() == options_.parents) break;
    preferred.push_back(peer.control);
  }
  return preferred;
}

/// Closes one stream too many: one that doesn't lead to the store, or else one
/// that the tree doesn't ask for.
void Node::DropSurplus(TimePoint now, Effects& effects) {
  if (parents() <= options_.parents) return;
  const auto preferred = Preferred();
  const auto worth = [&](const Link& link) {
    const auto end = preferred.end();
    const bool wanted =
        std::find(preferred.begin(), end, link.peer.control) != end;
    return std::pair(link.store_distance < kNoStorePath, wanted);
  };
  std::optional<StreamId> worst;
  for (const auto& [id, link] : links_) {
    if (!link.outgoing || !link.greeted) continue;
    if (!worst || worth(link) <= worth(links_.at(*worst))) worst = id;
  }
  effects.closes.push_back({*worst});
  links_.erase(*worst);
  next_attempt_ = now + Jitter(retry_);
}

void Node::OpenTo(const Endpoint& control, Effects& effects) {
  const StreamId id{next_link_++};
  auto& link = links_[id];
  link.control = control;
  link.outgoing = true;
  effects.opens.push_back({id, control});
}

/// Moves towards its place in the tree, one stream at a time: the first
/// streams go to whoever was known at the start.
void Node::ReviewPlace(TimePoint now, Effects& effects) {
  const bool settled = parents() == options_.parents && outgoing() == parents();
  if (!settled || now < next_move_) return;
  next_move_ = now + Jitter(options_.reparent_interval);
  for (const auto& control : Preferred()) {
    if (IsLinked(control)) continue;
    OpenTo(control, effects);
    return;
  }
}

/// Keeps the wanted number of streams open, and looks round with one more
/// while none leads to the store or none brings a ticket that was noticed.
void Node::ReviewParents(TimePoint now, Effects& effects) {
  DropSurplus(now, effects);
  const bool lost = now - rooted_at_ > options_.store_fallback_delay;
  const bool behind = noticed_ > tickets_.number() &&
                      now - noticed_at_ > options_.ticket_timeout;
  const auto wanted = options_.parents + (lost || behind ? 1 : 0);
  const bool busy = outgoing() - parents() >= kMaxPending;
  if (busy || parents() >= wanted || now < next_attempt_) return;
  const auto candidates = Candidates();
  // A process that is stopped accepts streams and doesn't answer: the next one
  // is tried meanwhile.
  next_attempt_ =
      now + std::max<Duration>(Jitter(retry_), options_.ticket_timeout);
  if (candidates.empty()) return;
  const auto control = candidates[attempt_ % candidates.size()];
  if (++attempt_ % candidates.size() == 0) {
    retry_ = std::min<Duration>(retry_ * 2, options_.max_retry);
  }
  OpenTo(control, effects);
}

/// Asks the store for tickets if no peer brought the one that was noticed.
void Node::ReviewNotice(TimePoint now, Effects& effects) {
  if (noticed_ <= tickets_.number() || now < notice_review_) return;
  effects.store.read_tickets = true;
  notice_review_ = now + Jitter(options_.max_retry);
}

}  // namespace cowslip::relay
