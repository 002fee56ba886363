#include "cowslip/peers/gossip.h"

#include <algorithm>
#include <bitset>
#include <iterator>

#include "cowslip/peers/document_holders.h"

namespace cowslip::peers {
namespace {

/// Average number of entries in a bucket up to which its entries are exchanged
/// without a comparison of its parts.
constexpr std::size_t kMaxEntriesPerBucket = 2;

/// Time after its return within which the store has all entries again.
constexpr std::chrono::seconds kEntryRestoreTime{2};

/// @return the order in which changes are forwarded: first those after which an
/// instance must not be used, then those of new processes.
int UrgencyOf(const PeerEntry* entry) {
  enum Urgency { kUnusable, kNewProcess, kOther };
  if (entry == nullptr) return kOther;
  if (entry->left || entry->no_upstream) return kUnusable;
  constexpr std::uint32_t kFirstChanges = 2;
  return entry->sequence <= kFirstChanges ? kNewProcess : kOther;
}

std::size_t NamesSize(const EvacuationReport& report) {
  std::size_t size = 0;
  const auto add = [&size](const DataCenterNames& names) {
    for (const auto& name : names) size += name.size();
  };
  if (report.state) add(report.state->names);
  add(report.held.names);
  return size;
}

}  // namespace

Gossip::Gossip(PeerEntry self, std::uint64_t seed)
    : self_(std::move(self)),
      random_(seed),
      evacuations_(self_.balancer, seed) {
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
  message.store_era = store_era_;
  message.digest = table_.Digest(!self_.balancer).total();
  message.complete = complete_;
  message.compares_ranges = true;
  message.evacuations = evacuations_.Report(now);
  message.evacuations->names_omitted =
      NamesSize(*message.evacuations) > kMaxInlineNames;
  return message;
}

Message Gossip::MakeEvacuationMessage() const {
  auto message = MakeMessage(now_);
  message.evacuations->names_omitted = false;
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

void Gossip::PublishSelf() {
  ++self_.sequence;
  table_.Merge(self_);
  for (const auto to : PickBalancers(kDirectFanout)) {
    auto message = MakeMessage(now_);
    message.entries.push_back(self_);
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::ForwardLater(InstanceAddress address) {
  const auto queued =
      std::find(forward_queue_.begin(), forward_queue_.end(), address);
  if (queued == forward_queue_.end()) forward_queue_.push_back(address);
}

/// Forwards the most urgent of the changes that wait, as many as fit a message.
void Gossip::ForwardChanges() {
  if (forward_queue_.empty()) return;
  std::stable_sort(forward_queue_.begin(), forward_queue_.end(),
                   [&](InstanceAddress a, InstanceAddress b) {
                     return UrgencyOf(table_.Find(a)) <
                            UrgencyOf(table_.Find(b));
                   });
  const auto count = std::min(forward_queue_.size(), kMaxEntries);
  const auto end = forward_queue_.begin() + static_cast<std::ptrdiff_t>(count);
  auto message = MakeMessage(now_);
  for (auto address = forward_queue_.begin(); address != end; ++address) {
    const auto* entry = table_.Find(*address);
    if (entry != nullptr) message.entries.push_back(*entry);
  }
  forward_queue_.erase(forward_queue_.begin(), end);
  for (const auto to : PickBalancers(kForwardFanout)) {
    outgoing_.push_back({to, message});
  }
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

void Gossip::SetConfig(const ConfigVersion& config, bool watching) {
  config_ = config;
  watching_ = watching;
}

void Gossip::OnStoreVersion(std::uint64_t config, TimePoint now) {
  verified_config_ = std::max(verified_config_, config);
  verified_at_ = std::max(verified_at_, now);
}

bool Gossip::IsPlausible(const PeerEntry& entry) const {
  constexpr std::uint64_t kMaxLeadMs =
      std::chrono::milliseconds(kMaxClockLead).count();
  const auto limit = self_.incarnation + kMaxLeadMs;
  return entry.address != 0 && entry.incarnation <= limit;
}

/// Merges an entry into the table. One with the address of this instance comes
/// from an earlier process, or from an earlier user of the address; if it is
/// newer, this instance increases its own incarnation to supersede it.
void Gossip::MergeEntry(const PeerEntry& entry, MembershipUpdate& update) {
  if (!IsPlausible(entry)) {
    ++update.refused;
    return;
  }
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

std::vector<PeerEntry> Gossip::EntriesBefore(
    std::uint64_t era, std::span<const PeerEntry> entries) const {
  std::vector<PeerEntry> earlier;
  std::ranges::copy_if(entries, std::back_inserter(earlier), [&](auto& entry) {
    return entry.address != self_.address && entry.WrittenBefore(era);
  });
  return earlier;
}

void Gossip::CompleteAfterRestarts() {
  if (complete_ || outdated_entries_.empty()) return;
  std::erase_if(outdated_entries_, [this](const PeerEntry& entry) {
    const auto* present = table_.Find(entry.address);
    return present != nullptr && present->incarnation > entry.incarnation;
  });
  complete_ = outdated_entries_.empty();
}

MembershipUpdate Gossip::OnStoreSnapshot(std::span<const PeerEntry> entries,
                                         std::uint64_t era, TimePoint now) {
  now_ = now;
  if (!first_snapshot_at_) first_snapshot_at_ = now;
  outdated_entries_ = EntriesBefore(era, entries);
  const bool has_others =
      std::ranges::any_of(entries, [this](const PeerEntry& entry) {
        return entry.address != self_.address;
      });
  complete_ |= (has_others && outdated_entries_.empty()) ||
               now - *first_snapshot_at_ > kEntryRestoreTime;
  MembershipUpdate update;
  for (const auto& entry : entries) MergeEntry(entry, update);
  CompleteAfterRestarts();
  return update;
}

MembershipUpdate Gossip::OnMessage(const Message& message, TimePoint now) {
  now_ = now;
  MembershipUpdate update;
  if (message.sender == self_.address) return update;
  update.config = message.config;
  update.watching = message.watching;
  update.store_era = message.store_era;
  newest_store_era_ = std::max(newest_store_era_, message.store_era);
  update.keep_document = message.keep_document;
  if (message.balancer) connected_ = true;
  MergeEvacuations(message);
  update.evacuations_changed = !evacuation_changes_.empty();
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
    if (self_.balancer && changed && from_owner) ForwardLater(entry.address);
  }
  CompleteAfterRestarts();
  if (!message.ranges.empty()) CompareRanges(message);
  if (!self_.balancer) return update;
  SendStoreEra(message);
  if (!message.wanted.empty()) SendRanges(message, message.wanted);
  // Equal digests: this table holds the same entries as the complete one.
  if (message.balancer && message.complete &&
      message.digest == table_.Digest(false).total()) {
    complete_ = true;
  }
  const bool repairing = !message.ranges.empty() || !message.wanted.empty();
  const bool tables_differ = message.digest != SharedDigest(message).total();
  if (message.want_all || (tables_differ && !message.compares_ranges)) {
    SendTable(message.sender, message.balancer);
  } else if (tables_differ && !repairing) {
    OfferComparison(message);
  }
  return update;
}

void Gossip::MergeEvacuations(const Message& message) {
  const auto response = evacuations_.OnMessage(message.sender, message.balancer,
                                               message.config.number != 0,
                                               message.evacuations, now_);
  if (response != EvacuationResponse::kNone) {
    auto reply = MakeEvacuationMessage();
    if (response == EvacuationResponse::kQuery) {
      reply = MakeMessage(now_);
      // The answer has all names. Its number confirms nothing.
      reply.evacuations->query = std::max(reply.evacuations->query, 1U);
    }
    reply.evacuations->answer = message.evacuations->query;
    outgoing_.push_back({message.sender, std::move(reply)});
  }
  SpreadEvacuations(/*relays=*/true);
}

void Gossip::OnStoredEvacuations(const EvacuationSnapshot& stored, bool current,
                                 TimePoint now) {
  now_ = now;
  const bool was_known = evacuations_.state().known();
  evacuations_.OnStored(stored, current, now);
  SpreadEvacuations(/*relays=*/false);
  if (was_known && !evacuation_changes_.empty()) Broadcast();
}

void Gossip::SpreadEvacuations(bool relays) {
  const auto changes = evacuations_.TakeChanges(now_);
  for (const auto& [waiting, query] : evacuations_.TakeWaiting(now_)) {
    auto reply = MakeEvacuationMessage();
    reply.evacuations->answer = query;
    outgoing_.push_back({waiting, std::move(reply)});
  }
  const bool first =
      !std::exchange(knows_evacuations_, evacuations_.state().known());
  if (changes.empty()) return;
  evacuation_changes_.insert(evacuation_changes_.end(), changes.begin(),
                             changes.end());
  // What a balancer learns at its start is not new to the others.
  if (!self_.balancer || first) return;
  for (const auto& change : changes) concerned_.insert(change.data_center);
  NotifySidecars();
  second_notice_at_ = now_ + kSecondNoticeDelay;
  if (!relays) return;
  for (const auto to : PickBalancers(kRelayFanout)) {
    outgoing_.push_back({to, MakeEvacuationMessage()});
  }
}

void Gossip::NotifySidecars() {
  std::vector<InstanceAddress> sidecars;
  for (const auto& [address, entry] : table_.entries()) {
    // Those of earlier builds publish no data centre.
    const bool concerned = !entry.balancer && !entry.left &&
                           concerned_.contains(entry.data_center);
    if (concerned) sidecars.push_back(address);
  }
  std::shuffle(sidecars.begin(), sidecars.end(), random_);
  const auto balancers = std::max<std::size_t>(table_.Balancers().size(), 1);
  const auto share =
      (kNoticeCopies * sidecars.size() + balancers - 1) / balancers;
  const auto limit = std::min(share, kSidecarFanout);
  if (sidecars.size() > limit) sidecars.resize(limit);
  for (const auto to : sidecars) {
    if (!MayRepair()) return;
    outgoing_.push_back({to, MakeEvacuationMessage()});
  }
}

bool Gossip::MaySync(InstanceAddress with) {
  auto& last = last_sync_[with];
  if (last != TimePoint{} && now_ - last < kSyncInterval) return false;
  last = now_;
  return true;
}

void Gossip::OfferComparison(const Message& from) {
  if (!MaySync(from.sender) || !MayRepair()) return;
  auto message = MakeMessage(now_);
  message.ranges = SharedDigest(from).Buckets();
  outgoing_.push_back({from.sender, std::move(message)});
}

void Gossip::CompareRanges(const Message& from) {
  const auto& digest = SharedDigest(from);
  std::vector<RangeIndex> differing;
  for (const auto& run : from.ranges) {
    for (std::size_t i = 0; i < DigestRun::kLength; ++i) {
      const auto range = run.first + i;
      if (range >= TableDigest::kRanges) break;
      const auto index = static_cast<RangeIndex>(range);
      if (digest.Of(index) != run.digests[i]) differing.push_back(index);
    }
  }
  if (differing.empty() || !MayRepair()) return;
  // Which differences one message covers changes from exchange to exchange.
  std::shuffle(differing.begin(), differing.end(), random_);
  const bool small_table =
      table_.entries().size() <= kMaxEntriesPerBucket * TableDigest::kBuckets;
  const bool compares_parts = !small_table && self_.balancer && from.balancer;
  auto message = MakeMessage(now_);
  std::vector<RangeIndex> differing_parts;
  for (const auto range : differing) {
    if (!MayAskFor(range)) continue;
    if (!TableDigest::IsBucket(range)) differing_parts.push_back(range);
    if (compares_parts && TableDigest::IsBucket(range)) {
      if (message.ranges.size() == kMaxComparedBuckets) break;
      message.ranges.push_back(digest.Parts(range));
    } else {
      if (message.wanted.size() == kMaxWanted) break;
      message.wanted.push_back(range);
    }
  }
  if (message.ranges.empty() && message.wanted.empty()) return;
  outgoing_.push_back({from.sender, std::move(message)});
  // The sender doesn't know which parts differ, so it can't ask for them.
  if (!differing_parts.empty()) SendRanges(from, differing_parts);
}

bool Gossip::MayAskFor(RangeIndex range) {
  auto& asked_at = asked_at_[range];
  if (asked_at != TimePoint{} && now_ - asked_at < kAnswerTime) return false;
  asked_at = now_;
  return true;
}

void Gossip::SendRanges(const Message& from,
                        const std::vector<RangeIndex>& ranges) {
  std::bitset<TableDigest::kRanges> wanted;
  for (const auto range : ranges) {
    if (range < TableDigest::kRanges) wanted.set(range);
  }
  std::vector<PeerEntry> entries;
  for (const auto& [address, entry] : table_.entries()) {
    if (!from.balancer && !entry.balancer) continue;
    if (wanted.test(TableDigest::BucketOf(address)) ||
        wanted.test(TableDigest::PartOf(address))) {
      entries.push_back(entry);
    }
  }
  SendEntries(from.sender, entries);
}

void Gossip::SendEntries(InstanceAddress to,
                         std::span<const PeerEntry> entries) {
  while (!entries.empty() && MayRepair()) {
    const auto count = std::min(entries.size(), kMaxEntries);
    auto message = MakeMessage(now_);
    const auto part = entries.first(count);
    message.entries.assign(part.begin(), part.end());
    outgoing_.push_back({to, std::move(message)});
    entries = entries.subspan(count);
  }
}

/// Sends the entry of the previous process to an instance that has restarted.
void Gossip::SendPredecessor(const PeerEntry& entry) {
  const auto* known = table_.Find(entry.address);
  if (known == nullptr || known->incarnation == entry.incarnation) return;
  auto message = MakeMessage(now_);
  message.entries.push_back(*known);
  outgoing_.push_back({entry.address, std::move(message)});
}

void Gossip::SendStoreEra(const Message& from) {
  const bool outdated = from.store_era != 0 && from.store_era < store_era_;
  if (!outdated || !MayRepair()) return;
  outgoing_.push_back({from.sender, MakeMessage(now_)});
}

void Gossip::SendTable(InstanceAddress to, bool to_balancer) {
  if (!MaySync(to)) return;
  std::vector<PeerEntry> entries;
  for (const auto& [address, entry] : table_.entries()) {
    // Sidecars only need the entries of balancers and of their own predecessor.
    if (!to_balancer && !entry.balancer && address != to) continue;
    entries.push_back(entry);
  }
  // If the budget ends, the rest follows by comparison.
  std::shuffle(entries.begin(), entries.end(), random_);
  SendEntries(to, entries);
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
  ForwardChanges();
  SpreadEvacuations(/*relays=*/false);
  if (!concerned_.empty() && now >= second_notice_at_) {
    NotifySidecars();
    concerned_.clear();
  }
  const bool asks = evacuations_.NeedsAnswer(now);
  const auto interval = !connected_ ? kHelloInterval
                        : asks      ? evacuations_.QueryInterval()
                                    : kInterval;
  if (now - last_heartbeat_ < interval) return;
  last_heartbeat_ = now;
  if (connected_ && asks) evacuations_.OnQuerySent();
  // Until a balancer answers, the seeds may be more up to date than the table.
  const bool asks_soon = asks && interval < kInterval;
  auto targets = PickBalancers(!connected_ ? kForwardFanout
                               : asks_soon ? kDirectFanout
                                           : kFanout);
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
    message.want_all = !connected_ || evacuations_.NeedsHello(now);
    message.entries.push_back(self_);
    outgoing_.push_back({to, std::move(message)});
  }
}

}  // namespace cowslip::peers
