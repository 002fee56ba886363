#pragma once

#include <cstdint>

namespace cowslip::peers {

/// Why a gossip message is sent. The numbers are part of the message format.
enum class MessageCause : std::uint8_t {
  /// The content of the message shows it.
  kByContent = 0,
  kHeartbeat = 1,  ///< Or a change of the sender's own entry.
  kHello = 2,
  kTable = 3,       ///< Entries that the receiver has asked for.
  kComparison = 4,  ///< Digests, or a request for entries that differ.
  kForwardedChange = 5,
  kEvacuation = 6,
  kDocument = 7,  ///< Version of the configuration document.
};

/// @return the cause that a number in a message stands for; kByContent for
///     those of later builds.
constexpr MessageCause ToMessageCause(std::uint8_t number) {
  const auto last = static_cast<std::uint8_t>(MessageCause::kDocument);
  return number <= last ? static_cast<MessageCause>(number)
                        : MessageCause::kByContent;
}

}  // namespace cowslip::peers
