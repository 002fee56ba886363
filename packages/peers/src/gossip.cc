#include "cowslip/peers/gossip.h"

#include <algorithm>

namespace cowslip::peers {

Gossip::Gossip(PeerEntry self, std::uint64_t seed)
    : self_(std::move(self)), random_(seed) {
  table_.Merge(self_);
}

Message Gossip::MakeMessage(TimePoint now) const {
  Message message;
  message.sender = self_.address;
  message.balancer = self_.balancer;
  message.config = config_;
  message.verified_config = verified_config_;
  message.verified_age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - verified_);
  message.watching = watching_;
  message.digest = table_.Digest(!self_.balancer);
  message.complete = complete_;
  return message;
}

std::vector<InstanceAddress> Gossip::PickBalancers(std::size_t count) {
  auto balancers = table_.Balancers();
  std::erase(balancers, self_.address);
  if (balancers.empty()) {
    balancers = seeds_;
    std::erase(balancers, self_.address);
  }
  std::shuffle(balancers.begin(), balancers.end(), random_);
  if (balancers.size() > count) balancers.resize(count);
  return balancers;
}

void Gossip::Announce(const PeerEntry& entry) {
  const bool own = entry.address == self_.address;
  for (const auto to : PickBalancers(own ? kDirectFanout : kForwardFanout)) {
    if (to == entry.address) continue;
    auto message = MakeMessage(now_);
    message.entries.push_back(entry);
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::TellSelf() {
  ++self_.sequence;
  table_.Merge(self_);
  Announce(self_);
}

void Gossip::SetOpen(bool open, std::uint64_t upstream, TimePoint now) {
  now_ = now;
  if (self_.accepting == open && self_.upstream == upstream &&
      !self_.no_upstream)
    return;
  self_.accepting = open;
  self_.no_upstream = false;
  self_.upstream = upstream;
  TellSelf();
}

void Gossip::SetNoUpstream(TimePoint now) {
  now_ = now;
  if (self_.no_upstream) return;
  self_.no_upstream = true;
  self_.accepting = false;
  TellSelf();
}

void Gossip::Leave(TimePoint now) {
  now_ = now;
  self_.left = true;
  self_.accepting = false;
  TellSelf();
}

void Gossip::SetConfig(std::uint64_t config, bool watching) {
  config_ = config;
  watching_ = watching;
}

void Gossip::OnStoreVersion(std::uint64_t config, TimePoint now) {
  verified_config_ = std::max(verified_config_, config);
  verified_ = std::max(verified_, now);
}

/// An entry of this instance from an earlier start, or from before its address
/// was used again, gives way to the present one.
void Gossip::MergeEntry(const PeerEntry& entry, MembershipUpdate& news) {
  if (entry.address == self_.address) {
    if (entry.incarnation != self_.incarnation) predecessor_ = entry;
    if (!entry.NewerThan(self_)) return;
    self_.incarnation = entry.incarnation + 1;
    TellSelf();
    return;
  }
  const auto result = table_.Merge(entry);
  if (result == MergeResult::kKnown) return;
  news.changed.push_back(entry.address);
  if (result == MergeResult::kStarted) news.started.push_back(entry.address);
}

MembershipUpdate Gossip::OnStoreSnapshot(std::span<const PeerEntry> entries,
                                         TimePoint now) {
  now_ = now;
  complete_ = true;
  MembershipUpdate news;
  for (const auto& entry : entries) MergeEntry(entry, news);
  return news;
}

MembershipUpdate Gossip::OnMessage(const Message& message, TimePoint now) {
  now_ = now;
  MembershipUpdate news;
  if (message.sender == self_.address) return news;
  news.config = message.config;
  news.watching = message.watching;
  if (message.balancer) greeted_ = true;
  const auto verified = now - message.verified_age;
  if (message.verified_config != 0 && verified > verified_) {
    OnStoreVersion(message.verified_config, verified);
  }
  for (const auto& entry : message.entries) {
    const auto before = news.changed.size();
    const bool direct = entry.address == message.sender;
    if (self_.balancer && direct) TellPredecessor(entry);
    MergeEntry(entry, news);
    const bool changed = news.changed.size() > before;
    if (self_.balancer && changed && direct) Announce(entry);
  }
  if (!self_.balancer) return news;
  // Equal digests: this table holds what the complete one does.
  if (message.balancer && message.complete &&
      message.digest == table_.Digest(false)) {
    complete_ = true;
  }
  const bool differs = message.digest != table_.Digest(!message.balancer);
  if (message.want_all || differs) {
    SendAll(message.sender, message.balancer, now);
  }
  return news;
}

/// Gives an instance that has started anew the entry of the process before it.
void Gossip::TellPredecessor(const PeerEntry& entry) {
  const auto* known = table_.Find(entry.address);
  if (known == nullptr || known->incarnation == entry.incarnation) return;
  auto message = MakeMessage(now_);
  message.entries.push_back(*known);
  outgoing_.push_back({entry.address, std::move(message)});
}

void Gossip::SendAll(InstanceAddress to, bool to_balancer, TimePoint now) {
  auto& synced = synced_[to];
  if (synced != TimePoint{} && now - synced < kSyncInterval) return;
  synced = now;
  auto message = MakeMessage(now);
  for (const auto& [address, entry] : table_.entries()) {
    // A sidecar needs to know balancers only, and what is said of itself.
    if (!to_balancer && !entry.balancer && address != to) continue;
    message.entries.push_back(entry);
    if (message.entries.size() < kMaxEntries) continue;
    outgoing_.push_back({to, message});
    message.entries.clear();
  }
  if (!message.entries.empty()) outgoing_.push_back({to, std::move(message)});
}

void Gossip::Broadcast() {
  for (const auto to : PickBalancers(kForwardFanout)) {
    outgoing_.push_back({to, MakeMessage(now_)});
  }
}

void Gossip::OnTick(TimePoint now) {
  now_ = now;
  if (now - sent_ < (greeted_ ? kInterval : kGreetInterval)) return;
  sent_ = now;
  // Until somebody answers, the seeds may know more than the table.
  auto targets = PickBalancers(greeted_ ? kFanout : kForwardFanout);
  if (!greeted_) {
    for (const auto seed : seeds_) {
      if (seed == self_.address) continue;
      if (std::find(targets.begin(), targets.end(), seed) == targets.end()) {
        targets.push_back(seed);
      }
    }
  }
  for (const auto to : targets) {
    auto message = MakeMessage(now);
    message.want_all = !greeted_;
    message.entries.push_back(self_);
    outgoing_.push_back({to, std::move(message)});
  }
}

}  // namespace cowslip::peers
