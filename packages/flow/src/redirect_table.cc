#include "cowslip/flow/redirect_table.h"

namespace cowslip::flow {

void RedirectTable::Learn(const FlowKey& key, UpstreamId owner,
                          Incarnation incarnation, TimePoint now) {
  if (redirects_.size() >= capacity_ && !redirects_.contains(key)) {
    ++evicted_;
    while (redirects_.size() >= capacity_ && !ages_.empty()) DropOldest();
  }
  const auto expires = now + lifetime_;
  redirects_[key] = {owner, incarnation, expires};
  ages_.push_back({expires, key});
}

std::optional<Redirect> RedirectTable::Find(const FlowKey& key,
                                            TimePoint now) const {
  const auto found = redirects_.find(key);
  if (found == redirects_.end() || found->second.expires <= now) {
    return std::nullopt;
  }
  return found->second;
}

void RedirectTable::Expire(TimePoint now) {
  while (!ages_.empty() && ages_.front().expires <= now) DropOldest();
}

void RedirectTable::DropOldest() {
  const auto& oldest = ages_.front();
  const auto found = redirects_.find(oldest.key);
  if (found != redirects_.end() && found->second.expires == oldest.expires) {
    redirects_.erase(found);
  }
  ages_.pop_front();
}

}  // namespace cowslip::flow
