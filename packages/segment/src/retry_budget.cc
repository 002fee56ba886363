#include "cowslip/segment/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace cowslip::segment {

void RetryBudget::Add(double tokens) {
  tokens_ = std::min(kBurst, tokens_ + tokens);
}

void RetryBudget::OnFirstTransmission() { Add(kShare); }

bool RetryBudget::TryTake(TimePoint now) {
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  Add(kMinPerSecond * elapsed.count());
  if (tokens_ < 1) return false;
  --tokens_;
  return true;
}

}  // namespace cowslip::segment
