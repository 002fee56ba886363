#include "cowslip/engine/guest_list.h"

namespace cowslip::engine {

std::optional<flow::FlowSlot> DelegatedFlowQueue::TakeIdle(
    const flow::FlowTable& table, TimePoint now) {
  while (!entries_.empty() && entries_.front().expires <= now) {
    const auto entry = entries_.front();
    entries_.pop_front();
    if (!table.Contains(entry.slot)) continue;
    const auto& flow = table.At(entry.slot);
    const bool idle = flow.delegated && flow.key == entry.key &&
                      now - flow.last_active >= kIdleTime;
    if (idle) return entry.slot;
  }
  return std::nullopt;
}

}  // namespace cowslip::engine
