#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "cowslip/base/endpoint.h"

namespace cowslip::standin {

/// The balancers by address prefix, and which of them receive datagrams.
class BalancerSet {
 public:
  explicit BalancerSet(std::uint64_t seed) : random_(seed) {}

  /// Adds a balancer, or changes whether it receives datagrams.
  /// @param address any address of the balancer's /16.
  void Set(std::uint32_t address, bool enabled);
  /// @return the address of a random enabled balancer for a service,
  /// std::nullopt if there is none.
  std::optional<Endpoint> PickRandom(const Endpoint& vip);
  /// @return whether `source` is some balancer's address of a service.
  bool IsReplyFrom(const Endpoint& source, const Endpoint& vip) const;

 private:
  /// Whether the balancer of each prefix is enabled.
  std::map<std::uint32_t, bool> balancers_;
  std::vector<std::uint32_t> enabled_;
  std::mt19937_64 random_;
};

}  // namespace cowslip::standin
