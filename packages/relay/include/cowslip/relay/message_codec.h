#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/relay/message.h"
#include "cowslip/relay/relay_error.h"

namespace cowslip::relay {

/// Largest encoded message in bytes.
inline constexpr std::size_t kMaxMessageBytes = 4 << 20;

/// @return one line of JSON, newline included.
std::string EncodeMessage(const Message& message);

/// @param line without its newline.
std::optional<Message> DecodeMessage(std::string_view line,
                                     LastReason<RelayError>& reason);

}  // namespace cowslip::relay
