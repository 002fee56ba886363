#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"

namespace cowslip::flow {

/// Where the owner of a flow is.
struct Redirect {
  UpstreamId owner{};
  Incarnation incarnation{};
  TimePoint expires{};
  TimePoint listed{};  ///< Its place in the order of age.
};

/// Bounded table of flows known to be owned by other upstreams.
class RedirectTable {
 public:
  /// @param capacity entries; when full, the oldest one gives way.
  RedirectTable(std::size_t capacity, Duration lifetime)
      : capacity_(capacity), lifetime_(lifetime) {}

  void Insert(const FlowKey& key, UpstreamId owner, Incarnation incarnation,
              TimePoint now);
  std::optional<Redirect> Find(const FlowKey& key, TimePoint now) const;
  void Erase(const FlowKey& key) { redirects_.erase(key); }
  /// Drops expired entries.
  void Expire(TimePoint now);
  void SetLifetime(Duration lifetime) { lifetime_ = lifetime; }

  std::size_t size() const { return redirects_.size(); }
  std::uint64_t evicted() const { return evicted_; }

 private:
  struct Age {
    TimePoint expires;
    FlowKey key;
  };
  void DropOldest();

  std::size_t capacity_;
  Duration lifetime_;
  std::unordered_map<FlowKey, Redirect, FlowKeyHash> redirects_;
  /// One entry for each redirect; a renewed one is listed again when its entry
  /// comes up.
  std::deque<Age> ages_;
  std::uint64_t evicted_ = 0;
};

}  // namespace cowslip::flow
