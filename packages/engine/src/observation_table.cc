#include "cowslip/engine/observation_table.h"

#include <utility>

namespace cowslip::engine {

using coap::Message;

Feed* ObservationTable::Find(flow::FlowSlot slot) {
  const auto found = feeds_.find(slot);
  return found == feeds_.end() ? nullptr : &found->second;
}

std::vector<flow::FlowSlot> ObservationTable::Slots() const {
  std::vector<flow::FlowSlot> slots;
  slots.reserve(feeds_.size());
  for (const auto& [slot, feed] : feeds_) slots.push_back(slot);
  return slots;
}

bool ObservationTable::Register(flow::FlowSlot slot, const Message& request) {
  auto* feed = Find(slot);
  auto* existing = feed == nullptr ? nullptr : feed->Find(request.token);
  if (existing != nullptr) {
    existing->request = request;
    return true;
  }
  if (size_ >= capacity_) return false;
  ++size_;
  Observation added;
  added.request = request;
  feeds_[slot].observations.push_back(std::move(added));
  return true;
}

Observation* ObservationTable::TakeOver(flow::FlowSlot slot,
                                        const Message& request) {
  auto* existing = Find(slot);
  if (existing != nullptr) {
    if (auto* same = existing->Find(request.token)) return same;
  }
  if (size_ >= capacity_) return nullptr;
  ++size_;
  auto& feed = feeds_[slot];
  if (feed.observations.empty()) feed.ContinueFrom(request.message_id);
  Observation added;
  added.request = request;
  added.last_sent =
      request.FindUintOption(coap::OptionNumber::kObserve).value_or(0);
  added.observe_offset.reset();
  feed.observations.push_back(std::move(added));
  return &feed.observations.back();
}

void ObservationTable::Cancel(flow::FlowSlot slot, const Bytes& token) {
  auto* feed = Find(slot);
  if (feed == nullptr) return;
  // The Feed remains, because later messages of the flow continue its message
  // ids.
  size_ -= std::erase_if(feed->observations, [&](const auto& o) {
    return o.request.token == token;
  });
}

void ObservationTable::Erase(flow::FlowSlot slot) {
  const auto found = feeds_.find(slot);
  if (found == feeds_.end()) return;
  size_ -= found->second.observations.size();
  feeds_.erase(found);
}

std::vector<flow::FlowSlot> ObservationTable::TakeDue(TimePoint now) {
  std::vector<flow::FlowSlot> slots;
  while (!retransmissions_.empty() && retransmissions_.top().at <= now) {
    const auto slot = retransmissions_.top().slot;
    retransmissions_.pop();
    const auto found = feeds_.find(slot);
    if (found == feeds_.end()) continue;
    if (found->second.NextRetransmission() <= now) slots.push_back(slot);
  }
  return slots;
}

}  // namespace cowslip::engine
