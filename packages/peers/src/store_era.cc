#include "cowslip/peers/store_era.h"

namespace cowslip::peers {

EraOrder StoreEra::Observe(std::uint64_t era) {
  if (known_ && era < current_) return EraOrder::kOlder;
  const bool newer = known_ && era > current_;
  current_ = era;
  known_ = true;
  return newer ? EraOrder::kNewer : EraOrder::kCurrent;
}

}  // namespace cowslip::peers
