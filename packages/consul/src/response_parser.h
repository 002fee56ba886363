#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "cowslip/base/last_reason.h"
#include "cowslip/consul/consul_error.h"
#include "cowslip/consul/results.h"

namespace cowslip::consul {

/// Parses the response to a read of keys.
/// @param body JSON array of entries.
std::optional<std::vector<KeyValue>> ParseKeyValues(
    std::string_view body, LastReason<ConsulError>& reason);

/// Parses the response to the creation of a session.
/// @param body JSON object with an ID.
std::optional<Session> ParseSession(std::string_view body,
                                    LastReason<ConsulError>& reason);

/// Parses the response to a write.
/// @param body "true" or "false".
std::optional<CasResult> ParseWriteResult(std::string_view body,
                                          LastReason<ConsulError>& reason);

}  // namespace cowslip::consul
