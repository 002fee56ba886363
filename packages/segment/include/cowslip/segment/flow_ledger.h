#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

enum class FlowState : std::uint8_t {
  kOpening,    ///< The upstream got the opening.
  kOpen,       ///< The upstream holds it.
  kEnded,      ///< Both ends are done; late packets may follow.
  kElsewhere,  ///< The upstream said that it doesn't hold it.
};

/// What a sidecar knows of one flow.
struct FlowEntry {
  FlowState state = FlowState::kOpening;
  bool answered = false;   ///< The upstream answered the opening.
  bool expecting = false;  ///< Its first request is still to come.
  bool awaiting = false;   ///< A request is in progress.
  bool queued = false;     ///< All slots were taken when it started.
  bool caller_done = false;
  bool upstream_done = false;
  std::uint32_t upstream_seq = 0;  ///< Of the answer to the opening.
  std::uint32_t caller_next = 0;   ///< Behind the caller's data so far.
  bool caller_seen = false;
  TimePoint asked_at{};  ///< When the request in progress started.
  TimePoint active{};
};

/// The flows beside one upstream, bounded in number and in age.
class FlowLedger {
 public:
  /// Twice the connections that an upstream takes; ended flows count too.
  static constexpr std::size_t kCapacity = 4096;
  /// A caller gives an attempt up after 1.4 s.
  static constexpr std::chrono::seconds kOpeningTime{3};
  /// Flows may be discarded once idle for 15 s or older than 60 s; twice that
  /// keeps those of callers with slow clocks.
  static constexpr std::chrono::seconds kIdleTime{120};
  /// Both ends repeat lost packets for up to 8 s after the last one.
  static constexpr std::chrono::seconds kEndedTime{10};
  /// An upstream that does not hold a flow can't come to hold it later; the
  /// entry only has to outlive the packets of one flow.
  static constexpr std::chrono::seconds kElsewhereTime{30};

  FlowEntry* Find(const FlowKey& flow);
  /// @return the entry, new or reset to its initial state.
  FlowEntry& Start(const FlowKey& flow, FlowState state, TimePoint now);
  void Erase(const FlowKey& flow) { flows_.erase(flow); }
  std::size_t size() const { return flows_.size(); }
  std::uint64_t evicted() const { return evicted_; }

  /// Drops what is too old. @param dropped called with each entry dropped.
  template <typename Dropped>
  void Expire(TimePoint now, const Dropped& dropped) {
    for (auto entry = flows_.begin(); entry != flows_.end();) {
      if (now - entry->second.active < LifetimeOf(entry->second)) {
        ++entry;
        continue;
      }
      dropped(entry->first, entry->second);
      entry = flows_.erase(entry);
    }
  }

 private:
  static Duration LifetimeOf(const FlowEntry& entry);
  void EvictOldest();

  std::unordered_map<FlowKey, FlowEntry, FlowKeyHash> flows_;
  std::uint64_t evicted_ = 0;
};

}  // namespace cowslip::segment
