#include "cowslip/flow/redirect_table.h"

namespace cowslip::flow {

void RedirectTable::Insert(const FlowKey& key, UpstreamId owner,
                           Incarnation incarnation, TimePoint now) {
  if (redirects_.size() >= capacity_ && !redirects_.contains(key)) {
    ++evicted_;
    while (redirects_.size() >= capacity_ && !ages_.empty()) RemoveOldest();
  }
  const auto expires = now + lifetime_;
  const auto [it, added] = redirects_.try_emplace(key);
  auto& redirect = it->second;
  redirect.owner = owner;
  redirect.incarnation = incarnation;
  redirect.expires = expires;
  if (!added) return;
  redirect.queued_expiry = expires;
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
  while (!ages_.empty() && ages_.front().expires <= now) RemoveOldest();
}

void RedirectTable::RemoveOldest() {
  const auto oldest = ages_.front();
  ages_.pop_front();
  const auto found = redirects_.find(oldest.key);
  // The entry is stale if its redirect was removed, and perhaps added again.
  if (found == redirects_.end()) return;
  auto& redirect = found->second;
  if (redirect.queued_expiry != oldest.expires) return;
  if (redirect.expires == oldest.expires) {
    redirects_.erase(found);
    return;
  }
  redirect.queued_expiry = redirect.expires;
  ages_.push_back({redirect.expires, oldest.key});
}

}  // namespace cowslip::flow
