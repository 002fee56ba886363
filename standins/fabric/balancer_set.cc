#include "standins/fabric/balancer_set.h"

namespace cowslip::standin {
namespace {

/// Each balancer has a /16; the lower half of an address is the service.
constexpr std::uint32_t kPrefixMask = 0xffff0000U;
constexpr std::uint32_t kHostMask = ~kPrefixMask;

}  // namespace

void BalancerSet::Set(std::uint32_t address, bool enabled) {
  balancers_[address & kPrefixMask] = enabled;
  enabled_.clear();
  for (const auto& [prefix, is_enabled] : balancers_) {
    if (is_enabled) enabled_.push_back(prefix);
  }
}

std::optional<Endpoint> BalancerSet::PickRandom(const Endpoint& vip) {
  if (enabled_.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> distribution(0,
                                                          enabled_.size() - 1);
  const auto prefix = enabled_[distribution(random_)];
  return Endpoint{prefix | (vip.address & kHostMask), vip.port};
}

bool BalancerSet::IsReplyFrom(const Endpoint& source,
                              const Endpoint& vip) const {
  const bool is_same_service =
      source.port == vip.port &&
      (source.address & kHostMask) == (vip.address & kHostMask);
  return is_same_service && balancers_.count(source.address & kPrefixMask) != 0;
}

}  // namespace cowslip::standin
