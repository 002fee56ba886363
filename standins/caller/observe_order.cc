#include "standins/caller/observe_order.h"

namespace cowslip::standin {
namespace {

/// Half of the 24-bit range of the Observe option.
constexpr std::uint32_t kHalfRange = 1U << 23U;
/// A notification after this time is new whatever its sequence number.
constexpr std::chrono::seconds kMaxReordering{128};

}  // namespace

bool ObserveOrder::Accept(std::uint32_t sequence, TimePoint now) {
  if (!IsFresh(sequence, now)) return false;
  newest_ = sequence;
  newest_time_ = now;
  return true;
}

bool ObserveOrder::IsFresh(std::uint32_t sequence, TimePoint now) const {
  if (!newest_ || now > newest_time_ + kMaxReordering) return true;
  if (*newest_ < sequence) return sequence - *newest_ < kHalfRange;
  return *newest_ - sequence > kHalfRange;
}

}  // namespace cowslip::standin
