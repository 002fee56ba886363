#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow/flow_error.h"

namespace cowslip::flow {

/// Remembers which upstream answered for a flow. A balancer works without it;
/// a hit saves the ranking and, after a join, the walk.
///
/// Four-way set-associative with a fixed memory; the least recently used entry
/// of a set gives way.
class HintCache {
 public:
  /// @param capacity entries, rounded up to a power of two.
  static std::optional<HintCache> Create(std::size_t capacity,
                                         LastReason<FlowError>& reason);

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
    std::uint32_t used_s = 0;
  };

  explicit HintCache(std::size_t capacity) : entries_(capacity) {}
  Entry* SetOf(std::uint64_t hash);

  std::vector<Entry> entries_;
};

}  // namespace cowslip::flow
