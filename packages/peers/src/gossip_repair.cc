// Repair of membership tables: exchange of whole tables and comparisons.
#include <algorithm>
#include <bitset>

#include "cowslip/peers/gossip.h"

namespace cowslip::peers {
namespace {

/// Average number of entries in a bucket up to which its entries are exchanged
/// without a comparison of its parts.
constexpr std::size_t kMaxEntriesPerBucket = 2;

/// Number of differing ranges up to which their entries are sent at once: they
/// take less than a message that asks for them.
constexpr std::size_t kFewRanges = 4;

}  // namespace

bool Gossip::MaySync(InstanceAddress with) {
  auto& last = last_sync_[with];
  if (last != TimePoint{} && now_ - last < kSyncInterval) return false;
  last = now_;
  return true;
}

void Gossip::OfferComparison(const Message& from) {
  // Right after the start the own rounds compare the tables.
  if (from.balancer && start_.compares_soon()) return;
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
  const bool sends = !compares_parts &&
                     (from.want_differing || differing.size() <= kFewRanges);
  auto message = MakeMessage(now_);
  std::vector<RangeIndex> to_send;
  for (const auto range : differing) {
    // The sender of parts doesn't know which differ, so it can't ask for them.
    if (sends || !TableDigest::IsBucket(range)) to_send.push_back(range);
    // Sidecars don't send their tables.
    if (!from.balancer || !MayAskFor(range)) continue;
    if (compares_parts && TableDigest::IsBucket(range)) {
      if (message.ranges.size() == kMaxComparedBuckets) break;
      message.ranges.push_back(digest.Parts(range));
    } else {
      if (message.wanted.size() == kMaxWanted) break;
      message.wanted.push_back(range);
    }
  }
  // The first entries take the place of a message of their own.
  const auto entries = EntriesOf(to_send, from);
  const auto first =
      std::span(entries).first(std::min(entries.size(), kMaxEntries));
  message.entries.assign(first.begin(), first.end());
  if (message.ranges.empty() && message.wanted.empty() && first.empty()) return;
  outgoing_.push_back({from.sender, std::move(message)});
  SendEntries(from.sender, std::span(entries).subspan(first.size()));
}

bool Gossip::MayAskFor(RangeIndex range) {
  auto& asked_at = asked_at_[range];
  if (asked_at != TimePoint{} && now_ - asked_at < kAnswerTime) return false;
  asked_at = now_;
  return true;
}

std::vector<PeerEntry> Gossip::EntriesOf(const std::vector<RangeIndex>& ranges,
                                         const Message& from) const {
  std::bitset<TableDigest::kRanges> wanted;
  for (const auto range : ranges) {
    if (range < TableDigest::kRanges) wanted.set(range);
  }
  std::vector<PeerEntry> entries;
  if (wanted.none()) return entries;
  for (const auto& [address, entry] : table_.entries()) {
    if (!from.balancer && !entry.balancer) continue;
    if (wanted.test(TableDigest::BucketOf(address)) ||
        wanted.test(TableDigest::PartOf(address))) {
      entries.push_back(entry);
    }
  }
  return entries;
}

std::vector<Message> Gossip::MakeTableMessages(
    std::span<const PeerEntry> entries) const {
  std::vector<Message> messages;
  while (!entries.empty()) {
    const auto part = entries.first(std::min(entries.size(), kMaxEntries));
    auto& message = messages.emplace_back(MakeMessage(now_));
    message.entries.assign(part.begin(), part.end());
    message.cause = MessageCause::kTable;
    entries = entries.subspan(part.size());
  }
  return messages;
}

void Gossip::SendEntries(InstanceAddress to,
                         std::span<const PeerEntry> entries) {
  for (auto& message : MakeTableMessages(entries)) {
    if (!MayRepair()) return;
    outgoing_.push_back({to, std::move(message)});
  }
}

void Gossip::SendTable(InstanceAddress to, bool to_balancer) {
  if (!MaySync(to)) return;
  std::vector<PeerEntry> entries;
  for (const auto& [address, entry] : table_.entries()) {
    // Sidecars only need the entries of balancers. An instance has its own one;
    // that of its predecessor is sent separately.
    if (address == to || (!to_balancer && !entry.balancer)) continue;
    entries.push_back(entry);
  }
  // If the budget ends, the rest follows by comparison.
  std::shuffle(entries.begin(), entries.end(), random_);
  for (auto& message : MakeTableMessages(entries)) {
    const auto size = Encode(message).size();
    if (!table_budget_.TryTake(size, now_) || !MayRepair()) return;
    outgoing_.push_back({to, std::move(message)});
  }
}

}  // namespace cowslip::peers
