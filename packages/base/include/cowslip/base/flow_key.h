#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "cowslip/base/endpoint.h"

namespace cowslip {

/// Identifies a flow: the caller's endpoint and the service address that the
/// caller sends to.
struct FlowKey {
  Endpoint caller;
  Endpoint service;

  auto operator<=>(const FlowKey&) const = default;
};

/// @param seed different values give independent hash functions.
/// @return XXH3 64-bit hash of the four fields.
std::uint64_t HashFlow(const FlowKey& key, std::uint64_t seed = 0);

/// Hash functor for unordered containers.
struct FlowKeyHash {
  std::size_t operator()(const FlowKey& key) const { return HashFlow(key); }
};

}  // namespace cowslip
