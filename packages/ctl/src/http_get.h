#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "cowslip/base.h"

namespace cowslip::ctl {

/// @return the body of a successful answer, or std::nullopt.
std::optional<std::string> HttpGet(const Endpoint& server,
                                   const std::string& path,
                                   std::chrono::milliseconds timeout);

}  // namespace cowslip::ctl
