#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// What one instance tells another about the system.
struct Message {
  InstanceAddress sender = 0;
  bool balancer = false;     ///< The sender is one.
  std::uint64_t config = 0;  ///< Version that the sender has in force.
  /// Newest version in the store, as some instance read it this long ago.
  std::uint64_t verified_config = 0;
  std::chrono::milliseconds verified_age{};
  bool watching = false;  ///< The sender holds a watch on the store.
  bool want_all = false;  ///< The sender knows little: send everything.
  std::uint64_t digest = 0;
  /// The sender's table holds all that the store does.
  bool complete = false;
  std::vector<PeerEntry> entries;
};

/// Entries in one message, so that it fits a datagram.
inline constexpr std::size_t kMaxEntries = 16;

Bytes Encode(const Message& message);
/// @return std::nullopt if the datagram is not a whole message.
std::optional<Message> Decode(ByteView datagram);
/// @return whether a datagram claims to be a message of this kind.
bool IsMessage(ByteView datagram);

}  // namespace cowslip::peers
