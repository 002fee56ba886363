#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/relay/message.h"
#include "cowslip/relay/relay_error.h"

namespace cowslip::relay {

/// Largest encoded message in bytes.
inline constexpr std::size_t kMaxMessageBytes = 4 << 20;

/// @return the message as one line of JSON, newline included.
std::string EncodeMessage(const Message& message);

/// @param line one line of JSON without its newline.
/// @return std::nullopt if the line is not a message.
std::optional<Message> DecodeMessage(std::string_view line,
                                     LastReason<RelayError>& reason);

}  // namespace cowslip::relay
