#include <algorithm>

#include "cowslip/relay/node.h"

namespace cowslip::relay {
namespace {

/// Outgoing streams that may wait for the other end's Hello at the same time.
constexpr std::size_t kMaxPending = 3;

}  // namespace

/// @return the number of streams that this process opened or is opening.
std::size_t Node::outgoing() const {
  return static_cast<std::size_t>(
      std::count_if(streams_.begin(), streams_.end(),
                    [](const auto& entry) { return entry.second.outgoing; }));
}

/// @return the number of those on which the other end's Hello has arrived.
std::size_t Node::parents() const {
  return static_cast<std::size_t>(
      std::count_if(streams_.begin(), streams_.end(), [](const auto& entry) {
        return entry.second.outgoing && entry.second.ready;
      }));
}

bool Node::HasStreamTo(const Endpoint& control) const {
  if (control == options_.self.control) return true;
  return std::any_of(streams_.begin(), streams_.end(), [&](const auto& entry) {
    const auto& stream = entry.second;
    return stream.control == control ||
           (stream.ready && stream.peer.control == control);
  });
}

/// Closes streams on which nothing arrives and sends the heartbeats that are
/// due.
void Node::MaintainStreams(TimePoint now, Effects& effects) {
  std::vector<StreamId> stale;
  for (auto& [id, stream] : streams_) {
    if (!stream.up) continue;
    if (now - stream.last_seen > options_.stream_timeout) stale.push_back(id);
    if (now - stream.last_heartbeat < options_.heartbeat_interval) continue;
    stream.last_heartbeat = now;
    effects.Send(id, Heartbeat{tickets_.position(), DistanceExcluding(id)});
  }
  for (const auto id : stale) {
    effects.closes.push_back({id});
    OnStreamDown(id, now, effects);
  }
  if (stream_count() > 0 || store_distance() == 0) last_connected_ = now;
  if (store_distance() < kNoStorePath) last_store_path_ = now;
}

/// The processes that rank first watch at once. The others are divided into
/// groups in the order of their rank. A group starts to watch when it has had
/// no path to the store for some time, which doubles from group to group, so
/// that not all processes query the store during an outage.
bool Node::ShouldWatch(TimePoint now) {
  if (now - last_connected_ > unconnected_timeout_) return true;
  if (options_.leaf) return false;
  if (!own_rank_) {
    own_rank_ = PeerRanking(options_.self, KnownPeers()).rank();
  }
  const auto group = *own_rank_ / options_.shape.watchers;
  if (group == 0) return peers_read_;
  constexpr std::size_t kMaxGroup = 20;
  const auto delay =
      options_.store_fallback_delay * (1LL << std::min(group, kMaxGroup));
  return now - last_store_path_ > delay;
}

void Node::StartOrStopWatch(TimePoint now, Effects& effects) {
  const bool may_wait = options_.leaf && !options_.seeds.empty();
  const bool due =
      !may_wait || now - last_connected_ > options_.store_fallback_delay / 2;
  if (!peers_requested_ && due) {
    peers_requested_ = true;
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
    store_answered_ = false;
    effects.store.stop_watch = true;
  }
}

/// Writes the own instance record again if the store has lost it: others find
/// this process by it.
void Node::CheckOwnRecord(TimePoint now, Effects& effects) {
  if (options_.leaf || now < next_record_check_) return;
  next_record_check_ = now + AddJitter(options_.max_retry);
  const auto record = items_.items().find(InstanceKey(options_.self));
  const bool stored = record != items_.items().end() &&
                      record->second.value == EncodePeer(options_.self);
  if (!stored) effects.store.read_peers = true;
}

std::vector<Endpoint> Node::StreamCandidates() const {
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
                [this](const auto& control) { return HasStreamTo(control); });
  return candidates;
}

/// @return the control endpoints of the preferred parents.
std::vector<Endpoint> Node::PreferredParents() const {
  std::vector<Endpoint> preferred;
  for (const auto& peer : ParentCandidates(options_.self, options_.leaf,
                                           KnownPeers(), options_.shape)) {
    if (preferred.size() == options_.parents) break;
    preferred.push_back(peer.control);
  }
  return preferred;
}

/// Closes one surplus stream: one without a path to the store, or else one to a
/// process that is no preferred parent.
void Node::CloseSurplusStream(TimePoint now, Effects& effects) {
  if (parents() <= options_.parents) return;
  const auto preferred = PreferredParents();
  const auto rating = [&](const Stream& stream) {
    const auto end = preferred.end();
    const bool wanted =
        std::find(preferred.begin(), end, stream.peer.control) != end;
    return std::pair(stream.hops < kNoStorePath, wanted);
  };
  std::optional<StreamId> worst;
  for (const auto& [id, stream] : streams_) {
    if (!stream.outgoing || !stream.ready) continue;
    if (!worst || rating(stream) <= rating(streams_.at(*worst))) worst = id;
  }
  effects.closes.push_back({*worst});
  streams_.erase(*worst);
  next_open_ = now + AddJitter(retry_delay_);
}

void Node::OpenStreamTo(const Endpoint& control, Effects& effects) {
  const StreamId id{next_stream_++};
  auto& stream = streams_[id];
  stream.control = control;
  stream.outgoing = true;
  effects.opens.push_back({id, control});
}

/// Opens a stream to a preferred parent, one at a time, since the first streams
/// go to the peers that were known at the start. CloseSurplusStream() then
/// closes another one.
void Node::OpenPreferredStream(TimePoint now, Effects& effects) {
  const bool complete =
      parents() == options_.parents && outgoing() == parents();
  if (!complete || now < next_reparent_) return;
  next_reparent_ = now + AddJitter(options_.reparent_interval);
  for (const auto& control : PreferredParents()) {
    if (HasStreamTo(control)) continue;
    OpenStreamTo(control, effects);
    return;
  }
}

/// Keeps the configured number of streams open, and one more while there is no
/// path to the store or a ticket known from a data frame hasn't arrived.
void Node::OpenMissingStream(TimePoint now, Effects& effects) {
  CloseSurplusStream(now, effects);
  const bool no_store_path =
      now - last_store_path_ > options_.store_fallback_delay;
  const bool ticket_missing = noticed_ticket_ > tickets_.number() &&
                              now - noticed_at_ > options_.ticket_timeout;
  const auto wanted =
      options_.parents + (no_store_path || ticket_missing ? 1 : 0);
  const bool too_many_pending = outgoing() - parents() >= kMaxPending;
  if (too_many_pending || parents() >= wanted || now < next_open_) return;
  const auto candidates = StreamCandidates();
  // A paused process accepts streams but doesn't answer. The next candidate is
  // tried without waiting for it.
  next_open_ = now + std::max<Duration>(AddJitter(retry_delay_),
                                        options_.ticket_timeout);
  if (candidates.empty()) return;
  const auto control = candidates[next_candidate_ % candidates.size()];
  if (++next_candidate_ % candidates.size() == 0) {
    retry_delay_ = std::min<Duration>(retry_delay_ * 2, options_.max_retry);
  }
  OpenStreamTo(control, effects);
}

/// Reads the tickets from the store if no peer sent the one that is known from
/// a data frame.
void Node::ReadMissingTicket(TimePoint now, Effects& effects) {
  if (noticed_ticket_ <= tickets_.number() || now < next_ticket_read_) return;
  effects.store.read_tickets = true;
  requested_ticket_ = noticed_ticket_;
  next_ticket_read_ = now + AddJitter(options_.max_retry);
}

}  // namespace cowslip::relay
