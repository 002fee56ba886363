#include "cowslip/peers/gossip.h"

#include <algorithm>
#include <iterator>

#include "cowslip/peers/document_holders.h"

namespace cowslip::peers {
namespace {

/// Time after its return within which the store has all entries again.
constexpr std::chrono::seconds kEntryRestoreTime{2};

/// @return whether a message tells of changes that may not have reached all
/// balancers yet, so that different tables don't show that something was lost.
/// The next heartbeats do.
bool IsAboutChanges(const Message& message) {
  const auto cause = CauseOf(message);
  return !message.told.empty() || cause == MessageCause::kTable ||
         cause == MessageCause::kForwardedChange;
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
      start_(self_.balancer),
      forwarder_(self_.address),
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
  message.cause = MessageCause::kEvacuation;
  return message;
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
  if (message.balancer) {
    connected_ = true;
    start_.OnBalancerMessage(message.sender,
                             CauseOf(message) == MessageCause::kTable);
  }
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
    if (self_.balancer && changed && from_owner) {
      forwarder_.Add(entry.address, message.told);
    }
  }
  CompleteAfterRestarts();
  if (!message.ranges.empty()) CompareRanges(message);
  if (!self_.balancer) return update;
  SendStoreEra(message);
  if (!message.wanted.empty()) {
    SendEntries(message.sender, EntriesOf(message.wanted, message));
  }
  // Equal digests: this table holds the same entries as the complete one.
  if (message.balancer && message.complete &&
      message.digest == table_.Digest(false).total()) {
    complete_ = true;
  }
  const bool repairing = !message.ranges.empty() || !message.wanted.empty();
  const bool tables_differ = message.digest != SharedDigest(message).total();
  if (message.want_all || (tables_differ && !message.compares_ranges)) {
    SendTable(message.sender, message.balancer);
  } else if (tables_differ && !repairing &&
             !(start_.IsStarting(now) && IsAboutChanges(message))) {
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
    reply.cause = MessageCause::kEvacuation;
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
  if (was_known && !evacuation_changes_.empty()) {
    BroadcastFor(MessageCause::kEvacuation);
  }
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

void Gossip::NotifyDocumentHolders() {
  for (const auto to : ChooseDocumentHolders(table_)) {
    auto message = MakeMessage(now_);
    message.keep_document = true;
    outgoing_.push_back({to, std::move(message)});
  }
}

}  // namespace cowslip::peers
