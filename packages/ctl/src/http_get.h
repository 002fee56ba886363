#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "cowslip/base.h"

namespace cowslip::ctl {

/// Sends an HTTP GET request.
/// @return the body of the response, std::nullopt on an error or a status of
///     400 or more.
std::optional<std::string> HttpGet(const Endpoint& server,
                                   const std::string& path,
                                   std::chrono::milliseconds timeout);

}  // namespace cowslip::ctl
