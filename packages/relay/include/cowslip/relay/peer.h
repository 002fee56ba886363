#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base.h"
#include "cowslip/relay/relay_error.h"

namespace cowslip::relay {

/// A process that others can open relay streams to. Its instance record in the
/// store holds the same fields.
struct Peer {
  std::string instance;
  std::string data_center;
  Endpoint control;  ///< Endpoint that accepts relay streams.

  bool operator==(const Peer&) const = default;
};

/// @return the prefix of the store keys of all instance records.
std::string_view InstancePrefix();

/// @return the prefix of the store keys of one data centre's instance records.
std::string InstancePrefix(std::string_view data_center);

/// @return the store key of one instance record.
std::string InstanceKey(const Peer& peer);

/// @return the instance record as JSON.
std::string EncodePeer(const Peer& peer);

/// @return std::nullopt if the text is not an instance record in JSON.
std::optional<Peer> DecodePeer(std::string_view json,
                               LastReason<RelayError>& reason);

}  // namespace cowslip::relay
