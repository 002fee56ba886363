#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"

namespace cowslip::flow {

/// The owner of a flow, as announced by a redirect frame.
struct Redirect {
  UpstreamId owner{};
  Incarnation incarnation{};
  TimePoint expires{};
  TimePoint queued_expiry{};  ///< Expiry of its entry in the age queue.
};

/// The flows that are known to be owned by other upstreams. Their number is
/// bounded.
class RedirectTable {
 public:
  /// @param capacity the maximum number of entries; when the table is full, the
  ///     oldest one is evicted.
  /// @param lifetime the time after which an entry that is not renewed expires.
  RedirectTable(std::size_t capacity, Duration lifetime)
      : capacity_(capacity), lifetime_(lifetime) {}

  /// Adds or renews an entry.
  void Insert(const FlowKey& key, UpstreamId owner, Incarnation incarnation,
              TimePoint now);
  std::optional<Redirect> Find(const FlowKey& key, TimePoint now) const;
  void Erase(const FlowKey& key) { redirects_.erase(key); }
  /// Removes expired entries.
  void Expire(TimePoint now);
  /// Sets the lifetime of entries that are added or renewed from now on.
  void SetLifetime(Duration lifetime) { lifetime_ = lifetime; }

  std::size_t size() const { return redirects_.size(); }
  /// @return the number of entries added while the table was full.
  std::uint64_t evicted() const { return evicted_; }

 private:
  struct AgeEntry {
    TimePoint expires;
    FlowKey key;
  };
  void RemoveOldest();

  std::size_t capacity_;
  Duration lifetime_;
  std::unordered_map<FlowKey, Redirect, FlowKeyHash> redirects_;
  /// One entry for each redirect, in the order of expiry. The entry of a
  /// renewed redirect is listed again when it reaches the front.
  std::deque<AgeEntry> ages_;
  std::uint64_t evicted_ = 0;
};

}  // namespace cowslip::flow
