#include "cowslip/flow/hint_cache.h"

#include <algorithm>
#include <bit>

namespace cowslip::flow {
namespace {

constexpr std::size_t kWays = 4;

/// Converts a time to seconds. The result is never 0, which marks an empty
/// entry.
std::uint32_t ToSeconds(TimePoint now) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
  return static_cast<std::uint32_t>(seconds.count()) + 1;
}

}  // namespace

std::optional<HintCache> HintCache::Create(std::size_t capacity,
                                           LastReason<FlowError>& reason) {
  if (capacity == 0) {
    reason.Set(FlowError::kBadCapacity, "hint cache");
    return std::nullopt;
  }
  return HintCache(std::bit_ceil(std::max(capacity, kWays)));
}

HintCache::Entry* HintCache::SetOf(std::uint64_t hash) {
  const auto sets = entries_.size() / kWays;
  return &entries_[(hash & (sets - 1)) * kWays];
}

std::optional<UpstreamId> HintCache::Find(const FlowKey& key,
                                          std::uint64_t hash, TimePoint now) {
  auto* set = SetOf(hash);
  for (std::size_t i = 0; i < kWays; ++i) {
    if (set[i].last_used_s == 0 || set[i].key != key) continue;
    set[i].last_used_s = ToSeconds(now);
    return set[i].upstream;
  }
  return std::nullopt;
}

void HintCache::Insert(const FlowKey& key, std::uint64_t hash,
                       UpstreamId upstream, TimePoint now) {
  auto* set = SetOf(hash);
  auto* victim = set;
  for (std::size_t i = 0; i < kWays; ++i) {
    if (set[i].last_used_s != 0 && set[i].key == key) {
      victim = &set[i];
      break;
    }
    if (set[i].last_used_s < victim->last_used_s) victim = &set[i];
  }
  *victim = {key, upstream, ToSeconds(now)};
}

void HintCache::Erase(const FlowKey& key, std::uint64_t hash) {
  auto* set = SetOf(hash);
  for (std::size_t i = 0; i < kWays; ++i) {
    if (set[i].key == key) set[i] = {};
  }
}

}  // namespace cowslip::flow
