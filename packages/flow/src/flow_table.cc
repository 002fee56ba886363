#include "cowslip/flow/flow_table.h"

namespace cowslip::flow {

std::optional<FlowTable> FlowTable::Create(std::size_t capacity,
                                           LastReason<FlowError>& reason) {
  if (capacity > 0) return FlowTable(capacity);
  reason.Set(FlowError::kBadCapacity, "flow table");
  return std::nullopt;
}

std::optional<FlowSlot> FlowTable::Find(const FlowKey& key) const {
  const auto found = slots_.find(key);
  if (found == slots_.end()) return std::nullopt;
  return FlowSlot(found->second);
}

std::optional<FlowSlot> FlowTable::Insert(const FlowKey& key, TimePoint now) {
  if (full()) return std::nullopt;
  if (free_.empty()) {
    free_.push_back(static_cast<std::uint32_t>(nodes_.size()));
    nodes_.emplace_back();
  }
  const auto index = free_.back();
  free_.pop_back();
  nodes_[index] = Node{};
  nodes_[index].used = true;
  nodes_[index].flow.key = key;
  nodes_[index].flow.accepted_at = now;
  nodes_[index].flow.last_active = now;
  slots_[key] = index;
  LinkAsNewest(index);
  return FlowSlot(index);
}

bool FlowTable::Contains(FlowSlot slot) const {
  return Raw(slot) < nodes_.size() && nodes_[Raw(slot)].used;
}

void FlowTable::Touch(FlowSlot slot, TimePoint now) {
  At(slot).last_active = now;
  Unlink(Raw(slot));
  LinkAsNewest(Raw(slot));
}

void FlowTable::Erase(FlowSlot slot) {
  const auto index = Raw(slot);
  slots_.erase(nodes_[index].flow.key);
  Unlink(index);
  nodes_[index].used = false;
  free_.push_back(index);
}

std::optional<FlowSlot> FlowTable::Oldest() const {
  if (oldest_ == kNone) return std::nullopt;
  return FlowSlot(oldest_);
}

void FlowTable::LinkAsNewest(std::uint32_t index) {
  auto& node = nodes_[index];
  node.older = newest_;
  node.newer = kNone;
  if (newest_ != kNone) nodes_[newest_].newer = index;
  newest_ = index;
  if (oldest_ == kNone) oldest_ = index;
}

void FlowTable::Unlink(std::uint32_t index) {
  const auto& node = nodes_[index];
  if (node.older != kNone) nodes_[node.older].newer = node.newer;
  if (node.newer != kNone) nodes_[node.newer].older = node.older;
  if (oldest_ == index) oldest_ = node.newer;
  if (newest_ == index) newest_ = node.older;
}

}  // namespace cowslip::flow
