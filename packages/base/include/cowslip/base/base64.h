#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cowslip {

/// @return the bytes as padded base64 (RFC 4648, section 4).
std::string EncodeBase64(std::string_view bytes);

/// @param text padded base64.
/// @return std::nullopt if the text is not canonical base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace cowslip
