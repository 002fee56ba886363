#pragma once

#include <optional>
#include <string>

namespace cowslip::testing {

/// @param server address and port.
/// @param target path and query.
/// @return the body, std::nullopt unless the status is 200.
std::optional<std::string> HttpGet(const std::string& server,
                                   const std::string& target);
/// Sends a PUT request without a body.
/// @return whether the status is 200.
bool HttpPut(const std::string& server, const std::string& target);

}  // namespace cowslip::testing
