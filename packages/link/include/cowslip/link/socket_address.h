#pragma once

#include <netinet/in.h>

#include "cowslip/base.h"

namespace cowslip::link {

/// Converts an endpoint from host to network byte order.
sockaddr_in ToSocketAddress(const Endpoint& endpoint);
/// Converts an address from network to host byte order.
Endpoint FromSocketAddress(const sockaddr_in& address);

}  // namespace cowslip::link
