#pragma once

#include <cstdint>
#include <string>

namespace cowslip::peers {

/// IPv4 address of an instance in host byte order.
using InstanceAddress = std::uint32_t;

/// State of an instance as it publishes it. Only the instance itself changes
/// its entry, so of two versions the newer one is correct.
struct PeerEntry {
  InstanceAddress address = 0;
  bool balancer = false;          ///< Whether it is a balancer, not a sidecar.
  std::uint64_t incarnation = 0;  ///< Increases with each start of the process.
  /// Increases with each change during one incarnation.
  std::uint32_t sequence = 0;
  std::string service;      ///< Name of the service that a sidecar belongs to.
  std::string data_center;  ///< Empty if it is not known.
  /// Newest form of frames that a sidecar understands; 0 in builds before the
  /// request class was introduced.
  std::uint8_t frame_version = 0;
  /// Incarnation of the sidecar's upstream, 0 if it is not known.
  std::uint64_t upstream = 0;
  /// Lease of the entry in the store, 0 if it is not known.
  std::uint64_t lease = 0;
  /// Era of the store in which it has that lease.
  std::uint64_t lease_era = 0;
  bool accepts =
      false;          ///< The upstream of the sidecar accepts new connections.
  bool left = false;  ///< The instance has stopped as planned.
  bool no_upstream =
      false;  ///< The sidecar has no upstream, so it owns no flows.
  /// The upstream's port has been seen closed while there was no upstream. The
  /// next process of the instance need not see it again.
  bool port_tracks_upstream = false;

  bool operator==(const PeerEntry&) const = default;
  /// @return whether the store has come back from a copy since the entry was
  ///     written. Builds before eras were introduced write none, so that it is
  ///     not known.
  bool WrittenBefore(std::uint64_t era) const {
    return lease_era != 0 && lease_era < era;
  }
  /// @return whether this version was published after the other one.
  bool NewerThan(const PeerEntry& other) const {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return sequence > other.sequence;
  }
};

}  // namespace cowslip::peers
