#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/relay/relay_error.h"

namespace cowslip::relay {

/// A process that others may follow.
struct Peer {
  std::string instance;
  std::string data_center;
  Endpoint control;  ///< Where it accepts relay streams.

  bool operator==(const Peer&) const = default;
};

/// @return the store key below which all instance records stand.
std::string_view InstancePrefix();

/// @return the store key below which those of one data centre stand.
std::string InstancePrefix(std::string_view data_center);

/// @return the store key of one instance record.
std::string InstanceKey(const Peer& peer);

/// @return JSON.
std::string EncodePeer(const Peer& peer);

std::optional<Peer> DecodePeer(std::string_view json,
                               LastReason<RelayError>& reason);

}  // namespace cowslip::relay
