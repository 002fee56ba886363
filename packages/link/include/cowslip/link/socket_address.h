#pragma once

#include <netinet/in.h>

#include "cowslip/base.h"

namespace cowslip::link {

sockaddr_in ToSocketAddress(const Endpoint& endpoint);
Endpoint FromSocketAddress(const sockaddr_in& address);

}  // namespace cowslip::link
