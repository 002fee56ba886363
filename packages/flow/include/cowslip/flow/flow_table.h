#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow/flow_error.h"

namespace cowslip::flow {

/// Index of a flow inside its table; stable while the flow lives.
enum class FlowSlot : std::uint32_t {};

/// A flow that this upstream serves.
struct Flow {
  FlowKey key;
  Endpoint balancer;  ///< Took the latest datagram of the caller.
  TimePoint adopted{};
  TimePoint last_active{};
  TimePoint last_announced{};         ///< When redirects were last sent.
  std::uint32_t announced_epoch = 0;  ///< Members for which they were sent.
  std::uint8_t announcements = 0;     ///< First ones sent for these members.
  /// Serves single requests for an owner elsewhere, and claims no ownership.
  bool guest = false;
};

/// The bounded table of flows beside one upstream, ordered by last activity.
class FlowTable {
 public:
  static std::optional<FlowTable> Create(std::size_t capacity,
                                         LastReason<FlowError>& reason);

  std::optional<FlowSlot> Find(const FlowKey& key) const;
  /// @return std::nullopt if the table is full. The key must be new.
  std::optional<FlowSlot> Insert(const FlowKey& key, TimePoint now);
  Flow& At(FlowSlot slot) { return nodes_[Raw(slot)].flow; }
  const Flow& At(FlowSlot slot) const { return nodes_[Raw(slot)].flow; }
  /// @return whether the slot holds a flow.
  bool Holds(FlowSlot slot) const;
  void Touch(FlowSlot slot, TimePoint now);
  void Erase(FlowSlot slot);
  /// @return the flow that has been inactive for longest.
  std::optional<FlowSlot> Oldest() const;

  std::size_t size() const { return slots_.size(); }
  std::size_t capacity() const { return capacity_; }
  bool full() const { return size() >= capacity_; }

 private:
  static constexpr std::uint32_t kNone = UINT32_MAX;
  struct Node {
    Flow flow;
    std::uint32_t older = kNone;
    std::uint32_t newer = kNone;
    bool used = false;
  };

  explicit FlowTable(std::size_t capacity) : capacity_(capacity) {}
  void LinkNewest(std::uint32_t index);
  void Unlink(std::uint32_t index);

  std::size_t capacity_;
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<FlowKey, std::uint32_t, FlowKeyHash> slots_;
  std::uint32_t oldest_ = kNone;
  std::uint32_t newest_ = kNone;
};

}  // namespace cowslip::flow
