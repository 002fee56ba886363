#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/peers/config_version.h"
#include "cowslip/peers/evacuation_report.h"
#include "cowslip/peers/message_cause.h"
#include "cowslip/peers/peer_entry.h"
#include "cowslip/peers/table_digest.h"

namespace cowslip::peers {

/// Datagram between two instances: heartbeat, published entries, or both.
struct Message {
  InstanceAddress sender = 0;
  bool balancer = false;  ///< Whether the sender is a balancer.
  /// Why the message is sent, if its content doesn't show it; see CauseOf().
  MessageCause cause = MessageCause::kByContent;
  /// The receiver is to send its entries of the ranges that differ, besides
  /// asking for the sender's; earlier builds only ask.
  bool want_differing = false;
  ConfigVersion config;  ///< Configuration in force at the sender.
  /// Newest configuration number in the store, as some instance read it
  /// `verified_age` ago.
  std::uint64_t verified_config = 0;
  std::chrono::milliseconds verified_age{};
  bool watching = false;  ///< The sender holds a watch on the store.
  /// Newest era of the store that the sender has seen, 0 if none.
  std::uint64_t store_era = 0;
  bool want_all = false;  ///< Hello message: the receiver is to send its table.
  /// PeerTable::Digest() of the sender, without sidecars if it is a sidecar.
  std::uint64_t digest = 0;
  /// The sender's table holds all entries of the store.
  bool complete = false;
  /// The receiver is to keep a copy of the document of version `config`.
  bool keep_document = false;
  /// The sender finds differences by ranges; earlier builds only send and
  /// expect whole tables.
  bool compares_ranges = false;
  /// Digests of parts of the sender's table, for the receiver to compare.
  std::vector<DigestRun> ranges;
  /// Ranges whose entries the sender asks for.
  std::vector<RangeIndex> wanted;
  std::vector<PeerEntry> entries;
  /// Balancers that the sender tells of its own entry with this message and
  /// equal ones, for the receiver to forward the entry only to others. Empty if
  /// it is not known, as in earlier builds.
  std::vector<InstanceAddress> told;
  /// std::nullopt if the sender is of a build before evacuations.
  std::optional<EvacuationReport> evacuations;
};

/// Limit of entries in one message, so that it fits a datagram.
inline constexpr std::size_t kMaxEntries = 16;
/// Limit of Message::told.
inline constexpr std::size_t kMaxTold = 8;

Bytes Encode(const Message& message);
/// @return std::nullopt if the datagram is truncated or invalid.
std::optional<Message> Decode(ByteView datagram);
/// @return why a message was sent.
MessageCause CauseOf(const Message& message);
/// @return whether a datagram has the prefix of these messages.
bool IsMessage(ByteView datagram);

}  // namespace cowslip::peers
