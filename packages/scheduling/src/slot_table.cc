#include "cowslip/scheduling/slot_table.h"

namespace cowslip::scheduling {

std::vector<FlowKey> SlotTable::FreeOverdue(TimePoint now) {
  std::vector<FlowKey> freed;
  for (auto entry = running_.begin(); entry != running_.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    freed.push_back(entry->first);
    entry = running_.erase(entry);
  }
  return freed;
}

}  // namespace cowslip::scheduling
