#include "cowslip/peers/change_forwarder.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>

#include "cowslip/peers/message.h"

namespace cowslip::peers {
namespace {

/// Order in which changes are forwarded: first those after which an instance
/// must not be used, then those of new processes.
enum Urgency { kUnusable, kNewProcess, kOther };

Urgency UrgencyOf(const PeerEntry* entry) {
  if (entry == nullptr) return kOther;
  if (entry->left || entry->no_upstream) return kUnusable;
  constexpr std::uint32_t kFirstChanges = 2;
  return entry->sequence <= kFirstChanges ? kNewProcess : kOther;
}

/// Rank of a balancer among those that could forward to another one. It doesn't
/// depend on the change, so that changes of one round share messages.
std::uint64_t RankFor(InstanceAddress forwarder, InstanceAddress to) {
  const std::array<InstanceAddress, 2> pair{forwarder, to};
  return XXH3_64bits(pair.data(), sizeof pair);
}

}  // namespace

void ChangeForwarder::Add(InstanceAddress owner,
                          std::vector<InstanceAddress> told) {
  const auto queued = std::ranges::find(queue_, owner, &Change::owner);
  if (queued != queue_.end()) {
    queued->told = std::move(told);
  } else {
    queue_.push_back({owner, std::move(told)});
  }
}

bool ChangeForwarder::IsMine(const Change& change, const PeerEntry& entry,
                             InstanceAddress to, std::size_t copies) const {
  if (to == change.owner) return false;
  // Earlier builds don't say whom they told. Of an instance that must not be
  // used, all learn as often as possible.
  if (change.told.empty() || UrgencyOf(&entry) == kUnusable) return true;
  std::size_t better = 0;
  const auto own_rank = RankFor(self_, to);
  for (const auto told : change.told) {
    // Those that were told have got one copy, unless it was lost.
    const bool other = told != to && told != self_;
    better += other ? RankFor(told, to) > own_rank : told == to;
  }
  return better < copies;
}

std::vector<ForwardedChanges> ChangeForwarder::Take(
    const PeerTable& table, std::vector<InstanceAddress> balancers,
    bool starting, std::mt19937_64& random) {
  std::stable_sort(
      queue_.begin(), queue_.end(), [&](const Change& a, const Change& b) {
        return UrgencyOf(table.Find(a.owner)) < UrgencyOf(table.Find(b.owner));
      });
  std::shuffle(balancers.begin(), balancers.end(), random);
  const auto copies = starting ? kCopiesAtStart : kCopies;
  std::vector<ForwardedChanges> messages;
  std::map<InstanceAddress, std::size_t> open;  // Message with space left.
  for (const auto& change : queue_) {
    const auto* entry = table.Find(change.owner);
    if (entry == nullptr) continue;
    std::size_t receivers = 0;
    for (const auto to : balancers) {
      if (receivers == kFanout) break;
      if (!IsMine(change, *entry, to, copies)) continue;
      ++receivers;
      const auto [found, added] = open.try_emplace(to, messages.size());
      if (added || messages[found->second].entries.size() == kMaxEntries) {
        found->second = messages.size();
        messages.push_back({to, {}, UrgencyOf(entry) == kUnusable});
      }
      messages[found->second].entries.push_back(*entry);
    }
  }
  queue_.clear();
  return messages;
}

}  // namespace cowslip::peers
