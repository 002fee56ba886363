#pragma once

#include <optional>
#include <string>

namespace cowslip::testing {

/// @param server address and port.
/// @param target path and query.
/// @return the body, std::nullopt unless the status is 200.
std::optional<std::string> HttpGet(const std::string& server,
                                   const std::string& target);
/// @return the value of a metric in a page in the Prometheus text format, 0 if
/// there is none.
double FindMetric(const std::string& page, const std::string& name);
/// Sends a PUT request without a body.
/// @return whether the status is 200.
bool HttpPut(const std::string& server, const std::string& target);

}  // namespace cowslip::testing
