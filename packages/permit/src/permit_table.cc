#include "cowslip/permit/permit_table.h"

namespace cowslip::permit {

bool PermitTable::Reserve(TimePoint now, TimePoint expires) {
  Expire(now);
  if (records_.size() + reservations_.size() >= capacity_) return false;
  reservations_.push_back(expires);
  return true;
}

RunDecision PermitTable::Begin(const Permit& permit, const RequestId& request,
                               TimePoint now) {
  const auto found = records_.find(permit.number);
  if (found != records_.end()) {
    const auto& record = found->second;
    if (record.request != request) return RunDecision::kReused;
    return record.outcome ? RunDecision::kReplay : RunDecision::kInProgress;
  }
  if (now >= permit.expires + kExchangeLifetime) {
    return RunDecision::kOutcomeUnknown;
  }
  if (now >= permit.expires) return RunDecision::kExpired;
  records_[permit.number] = {request, std::nullopt};
  expiries_.push_back({permit.expires + kExchangeLifetime, permit.number});
  return RunDecision::kRun;
}

bool PermitTable::IsRunning(PermitNumber number) const {
  const auto found = records_.find(number);
  return found != records_.end() && !found->second.outcome;
}

bool PermitTable::Finish(PermitNumber number, Bytes outcome) {
  const auto found = records_.find(number);
  if (found == records_.end() || found->second.outcome) return false;
  found->second.outcome = std::move(outcome);
  return true;
}

const Bytes* PermitTable::Outcome(PermitNumber number) const {
  const auto found = records_.find(number);
  if (found == records_.end() || !found->second.outcome) return nullptr;
  return &*found->second.outcome;
}

void PermitTable::Expire(TimePoint now) {
  while (!reservations_.empty() && reservations_.front() <= now) {
    reservations_.pop_front();
  }
  while (!expiries_.empty() && expiries_.front().expires <= now) {
    records_.erase(expiries_.front().number);
    expiries_.pop_front();
  }
}

}  // namespace cowslip::permit
