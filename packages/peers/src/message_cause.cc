#include "cowslip/peers/message_cause.h"

#include <algorithm>

#include "cowslip/peers/message.h"

namespace cowslip::peers {

MessageCause CauseOf(const Message& message) {
  if (message.cause != MessageCause::kByContent) return message.cause;
  if (message.want_all) return MessageCause::kHello;
  const bool has_others = std::ranges::any_of(
      message.entries,
      [&](const PeerEntry& entry) { return entry.address != message.sender; });
  if (has_others) return MessageCause::kTable;
  if (!message.ranges.empty() || !message.wanted.empty()) {
    return MessageCause::kComparison;
  }
  return message.keep_document ? MessageCause::kDocument
                               : MessageCause::kHeartbeat;
}

}  // namespace cowslip::peers
