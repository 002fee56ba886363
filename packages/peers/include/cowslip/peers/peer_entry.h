#pragma once

#include <cstdint>
#include <string>

namespace cowslip::peers {

/// IPv4 address of an instance in host byte order.
using InstanceAddress = std::uint32_t;

/// What an instance says of itself. Only the instance changes its entry, so the
/// newest one wins wherever two meet.
struct PeerEntry {
  InstanceAddress address = 0;
  bool balancer = false;          ///< Otherwise a sidecar.
  std::uint64_t incarnation = 0;  ///< Rises with each start of the process.
  std::uint32_t sequence = 0;     ///< Rises with each change within one start.
  std::string service;            ///< Of a sidecar.
  /// Start of the upstream that a sidecar serves, 0 if it has heard of none.
  std::uint64_t upstream = 0;
  std::uint64_t lease = 0;   ///< Of the entry in the store, 0 if unknown.
  bool accepting = false;    ///< A sidecar's upstream takes connections.
  bool left = false;         ///< Stopped as planned.
  bool no_upstream = false;  ///< A sidecar without upstream: no flow is there.

  bool operator==(const PeerEntry&) const = default;
  /// @return whether this was said after the other one.
  bool NewerThan(const PeerEntry& other) const {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return sequence > other.sequence;
  }
};

}  // namespace cowslip::peers
