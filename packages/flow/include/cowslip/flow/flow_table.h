#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow/flow_error.h"

namespace cowslip::flow {

/// Index of a flow in its FlowTable; stable until the flow is erased.
enum class FlowSlot : std::uint32_t {};

/// A flow that an upstream serves: the datagrams of one caller to one service.
struct Flow {
  FlowKey key;
  Endpoint balancer;        ///< Forwarded the latest datagram of the caller.
  TimePoint accepted_at{};  ///< When the upstream became the owner.
  TimePoint last_active{};
  TimePoint last_announced{};         ///< When redirects were last sent.
  std::uint32_t announced_epoch = 0;  ///< Set of members they were sent to.
  std::uint8_t announcements = 0;  ///< Times they were sent to these members.
  /// Whether another upstream owns the flow and this one only serves single
  /// requests for it.
  bool delegated = false;
};

/// The flows that one upstream serves, ordered by last activity. Their number
/// is bounded.
class FlowTable {
 public:
  /// @param capacity the maximum number of flows, at least 1.
  static std::optional<FlowTable> Create(std::size_t capacity,
                                         LastReason<FlowError>& reason);

  std::optional<FlowSlot> Find(const FlowKey& key) const;
  /// @return std::nullopt if the table is full. The key must be new.
  std::optional<FlowSlot> Insert(const FlowKey& key, TimePoint now);
  Flow& At(FlowSlot slot) { return nodes_[Raw(slot)].flow; }
  const Flow& At(FlowSlot slot) const { return nodes_[Raw(slot)].flow; }
  /// @return whether the slot holds a flow.
  bool Contains(FlowSlot slot) const;
  /// Records activity of the flow.
  void Touch(FlowSlot slot, TimePoint now);
  void Erase(FlowSlot slot);
  /// @return the flow with the longest time since its last activity.
  std::optional<FlowSlot> Oldest() const;

  std::size_t size() const { return slots_.size(); }
  std::size_t capacity() const { return capacity_; }
  bool full() const { return size() >= capacity_; }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  /// A slot: an element of a linked list in the order of last activity.
  struct Node {
    Flow flow;
    std::uint32_t older = kNone;
    std::uint32_t newer = kNone;
    bool used = false;
  };

  explicit FlowTable(std::size_t capacity) : capacity_(capacity) {}
  void LinkAsNewest(std::uint32_t index);
  void Unlink(std::uint32_t index);

  std::size_t capacity_;
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<FlowKey, std::uint32_t, FlowKeyHash> slots_;
  std::uint32_t oldest_ = kNone;
  std::uint32_t newest_ = kNone;
};

}  // namespace cowslip::flow
