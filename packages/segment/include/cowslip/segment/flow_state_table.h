#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cowslip/base.h"
#include "cowslip/scheduling.h"
#include "cowslip/segment/load_estimator.h"
#include "cowslip/segment/segment.h"

namespace cowslip::segment {

/// State of a flow at a sidecar; determines the lifetime of its entry.
enum class FlowState : std::uint8_t {
  kSynSent,      ///< The SYN was sent to the upstream.
  kEstablished,  ///< The upstream owns the flow.
  kClosed,       ///< Closed by both ends; late packets may follow.
  kNotOwned,     ///< The upstream returned a packet: it doesn't own the flow.
};

/// Entry of a sidecar's flow table: what the sidecar has seen of one flow.
struct FlowEntry {
  FlowState state = FlowState::kSynSent;
  bool syn_acked = false;  ///< The upstream has answered the SYN.
  /// The first request has not arrived yet.
  bool awaiting_first_request = false;
  bool request_in_progress = false;  ///< Sent, not answered yet.
  bool caller_fin = false;           ///< The caller has sent a FIN.
  bool upstream_fin = false;         ///< The upstream has sent a FIN.
  /// Sequence number of the upstream's SYN-ACK.
  std::uint32_t upstream_seq = 0;
  /// Sequence number after the caller's data so far.
  std::uint32_t caller_next_seq = 0;
  bool caller_next_seq_valid = false;  ///< caller_next_seq is valid.
  std::uint32_t request_seq = 0;       ///< Sequence number of the last request.
  std::uint32_t requests = 0;          ///< Requests so far.
  RequestStart request;                ///< The request in progress.
  scheduling::RequestTerms terms;      ///< Of its requests, as of the SYN.
  /// When the caller sent the SYN, until the first request has arrived.
  std::optional<TimePoint> first_request_since;
  /// Sequence number after the last request that was dropped, whose packets the
  /// caller may repeat.
  std::optional<std::uint32_t> dropped_end_seq;
  /// RequestDispatcher::upstream_restarts() when the upstream had the flow.
  std::uint32_t upstream_restarts = 0;
  TimePoint last_activity{};  ///< Last packet of the flow.
  TimePoint started{};        ///< Start of the record.
  /// Last packet of the flow that the upstream sent.
  TimePoint upstream_activity{};
};

/// Flows that a sidecar has seen, limited in size and in the age of its
/// entries.
class FlowStateTable {
 public:
  /// Twice the connections that an upstream accepts, as closed flows are
  /// counted too.
  static constexpr std::size_t kCapacity = 4096;
  /// Callers give up an attempt after 1.4 s.
  static constexpr std::chrono::seconds kSynSentLifetime{3};
  /// Flows may be discarded once idle for 15 s or older than 60 s; twice the
  /// latter allows for callers with slow clocks.
  static constexpr std::chrono::seconds kIdleLifetime{120};
  /// Both ends retransmit lost packets for up to 8 s after the last one.
  static constexpr std::chrono::seconds kClosedLifetime{10};
  /// An upstream never becomes the owner of a flow that it has returned, so the
  /// entry only has to outlive the flow's packets.
  static constexpr std::chrono::seconds kNotOwnedLifetime{30};

  FlowEntry* Find(const FlowKey& flow);
  /// @return a new entry for the flow, or the existing one reset to its initial
  /// state.
  FlowEntry& Start(const FlowKey& flow, FlowState state, TimePoint now);
  void Erase(const FlowKey& flow) { flows_.erase(flow); }
  std::size_t size() const { return flows_.size(); }
  /// @return entries removed because the table was full.
  std::uint64_t evicted() const { return evicted_; }
  /// @return those of them whose flows may have been open.
  std::uint64_t evicted_open() const { return evicted_open_; }

  template <typename Visitor>
  void ForEach(const Visitor& visit) {
    for (auto& [flow, entry] : flows_) visit(entry);
  }
  /// Removes expired entries. @param on_removed called for each of them.
  template <typename Dropped>
  void Expire(TimePoint now, const Dropped& on_removed) {
    for (auto entry = flows_.begin(); entry != flows_.end();) {
      if (now - entry->second.last_activity < LifetimeOf(entry->second)) {
        ++entry;
        continue;
      }
      on_removed(entry->first, entry->second);
      entry = flows_.erase(entry);
    }
  }

 private:
  static Duration LifetimeOf(const FlowEntry& entry);
  void EvictOne();

  std::unordered_map<FlowKey, FlowEntry, FlowKeyHash> flows_;
  std::uint64_t evicted_ = 0;
  std::uint64_t evicted_open_ = 0;
};

}  // namespace cowslip::segment
