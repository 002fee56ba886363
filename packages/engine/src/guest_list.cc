#include "cowslip/engine/guest_list.h"

namespace cowslip::engine {

std::optional<flow::FlowSlot> GuestList::TakeIdle(const flow::FlowTable& table,
                                                  TimePoint now) {
  while (!entries_.empty() && entries_.front().expires <= now) {
    const auto guest = entries_.front();
    entries_.pop_front();
    if (!table.Holds(guest.slot)) continue;
    const auto& flow = table.At(guest.slot);
    const bool idle = flow.guest && flow.key == guest.key &&
                      now - flow.last_active >= kIdleTime;
    if (idle) return guest.slot;
  }
  return std::nullopt;
}

}  // namespace cowslip::engine
