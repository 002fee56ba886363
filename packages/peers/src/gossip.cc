#include "cowslip/peers/gossip.h"

#include <algorithm>

#include "cowslip/peers/document_holders.h"

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
      std::chrono::duration_cast<std::chrono::milliseconds>(now - verified_at_);
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

void Gossip::PublishEntry(const PeerEntry& entry) {
  const bool own = entry.address == self_.address;
  for (const auto to : PickBalancers(own ? kDirectFanout : kForwardFanout)) {
    if (to == entry.address) continue;
    auto message = MakeMessage(now_);
    message.entries.push_back(entry);
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::PublishSelf() {
  ++self_.sequence;
  table_.Merge(self_);
  PublishEntry(self_);
}

void Gossip::SetOpen(bool on, std::uint64_t id, TimePoint now) {
  now_ = now;
  if (self_.accepts == on && self_.upstream == id && !self_.no_upstream) return;
  self_.accepts = on;
  self_.no_upstream = false;
  self_.upstream = id;
  PublishSelf();
}

void Gossip::SetNoUpstream(TimePoint now) {
  now_ = now;
  if (self_.no_upstream) return;
  self_.no_upstream = true;
  self_.accepts = false;
  PublishSelf();
}

void Gossip::Leave(TimePoint now) {
  now_ = now;
  self_.left = true;
  self_.accepts = false;
  PublishSelf();
}

void Gossip::SetConfig(std::uint64_t config, bool watching) {
  config_ = config;
  watching_ = watching;
}

void Gossip::OnStoreVersion(std::uint64_t config, TimePoint now) {
  verified_config_ = std::max(verified_config_, config);
  verified_at_ = std::max(verified_at_, now);
}

/// Merges an entry into the table. One with the address of this instance comes
/// from an earlier process, or from an earlier user of the address; if it is
/// newer, this instance increases its own incarnation to supersede it.
void Gossip::MergeEntry(const PeerEntry& entry, MembershipUpdate& update) {
  if (entry.address == self_.address) {
    if (entry.incarnation != self_.incarnation) predecessor_ = entry;
    if (!entry.NewerThan(self_)) return;
    self_.incarnation = entry.incarnation + 1;
    PublishSelf();
    return;
  }
  const auto result = table_.Merge(entry);
  if (result == MergeResult::kUnchanged) return;
  update.changed.push_back(entry.address);
  if (result == MergeResult::kStarted) update.started.push_back(entry.address);
}

MembershipUpdate Gossip::OnStoreSnapshot(std::span<const PeerEntry> entries,
                                         TimePoint now) {
  now_ = now;
  complete_ = true;
  MembershipUpdate update;
  for (const auto& entry : entries) MergeEntry(entry, update);
  return update;
}

MembershipUpdate Gossip::OnMessage(const Message& message, TimePoint now) {
  now_ = now;
  MembershipUpdate update;
  if (message.sender == self_.address) return update;
  update.config = message.config;
  update.watching = message.watching;
  update.keep_document = message.keep_document;
  if (message.balancer) connected_ = true;
  const auto verified = now - message.verified_age;
  if (message.verified_config != 0 && verified > verified_at_) {
    OnStoreVersion(message.verified_config, verified);
  }
  for (const auto& entry : message.entries) {
    const auto changed_before = update.changed.size();
    const bool from_owner = entry.address == message.sender;
    if (self_.balancer && from_owner) SendPredecessor(entry);
    MergeEntry(entry, update);
    const bool changed = update.changed.size() > changed_before;
    if (self_.balancer && changed && from_owner) PublishEntry(entry);
  }
  if (!self_.balancer) return update;
  // Equal digests: this table holds the same entries as the complete one.
  if (message.balancer && message.complete &&
      message.digest == table_.Digest(false)) {
    complete_ = true;
  }
  const bool tables_differ = message.digest != table_.Digest(!message.balancer);
  if (message.want_all || tables_differ) {
    SendTable(message.sender, message.balancer, now);
  }
  return update;
}

/// Sends the entry of the previous process to an instance that has restarted.
void Gossip::SendPredecessor(const PeerEntry& entry) {
  const auto* known = table_.Find(entry.address);
  if (known == nullptr || known->incarnation == entry.incarnation) return;
  auto message = MakeMessage(now_);
  message.entries.push_back(*known);
  outgoing_.push_back({entry.address, std::move(message)});
}

void Gossip::SendTable(InstanceAddress to, bool to_balancer, TimePoint now) {
  auto& last_sent = last_table_sent_[to];
  if (last_sent != TimePoint{} && now - last_sent < kSyncInterval) return;
  last_sent = now;
  auto message = MakeMessage(now);
  for (const auto& [address, entry] : table_.entries()) {
    // Sidecars only need the entries of balancers and of their own predecessor.
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

void Gossip::NotifyDocumentHolders() {
  for (const auto to : ChooseDocumentHolders(table_)) {
    auto message = MakeMessage(now_);
    message.keep_document = true;
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::OnTick(TimePoint now) {
  now_ = now;
  if (now - last_heartbeat_ < (connected_ ? kInterval : kHelloInterval)) return;
  last_heartbeat_ = now;
  // Until a balancer answers, the seeds may be more up to date than the table.
  auto targets = PickBalancers(connected_ ? kFanout : kForwardFanout);
  if (!connected_) {
    for (const auto seed : seeds_) {
      if (seed == self_.address) continue;
      if (std::find(targets.begin(), targets.end(), seed) == targets.end()) {
        targets.push_back(seed);
      }
    }
  }
  for (const auto to : targets) {
    auto message = MakeMessage(now);
    message.want_all = !connected_;
    message.entries.push_back(self_);
    outgoing_.push_back({to, std::move(message)});
  }
}

}  // namespace cowslip::peers
