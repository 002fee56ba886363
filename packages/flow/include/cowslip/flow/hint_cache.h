#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow/flow_error.h"

namespace cowslip::flow {

/// Caches which upstream sent the latest reply of a flow. The cache is optional
/// for a balancer: a hit saves the ranking of the upstreams and, after a join,
/// the owner lookup.
///
/// Four-way set-associative, of fixed size. When a set is full, its least
/// recently used entry is evicted.
class HintCache {
 public:
  /// @param capacity entries, rounded up to a power of two.
  static std::optional<HintCache> Create(std::size_t capacity,
                                         LastReason<FlowError>& reason);

  /// @param hash HashFlow() of the key, here and below.
  std::optional<UpstreamId> Find(const FlowKey& key, std::uint64_t hash,
                                 TimePoint now);
  void Insert(const FlowKey& key, std::uint64_t hash, UpstreamId upstream,
              TimePoint now);
  void Erase(const FlowKey& key, std::uint64_t hash);

  std::size_t memory_bytes() const { return entries_.size() * sizeof(Entry); }

 private:
  struct Entry {
    FlowKey key;
    UpstreamId upstream{};
    /// Time of last use in seconds, 0 if the entry is empty.
    std::uint32_t last_used_s = 0;
  };

  explicit HintCache(std::size_t capacity) : entries_(capacity) {}
  Entry* SetOf(std::uint64_t hash);

  std::vector<Entry> entries_;
};

}  // namespace cowslip::flow
