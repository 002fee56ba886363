#include "cowslip/link/socket_address.h"

#include <arpa/inet.h>

namespace cowslip::link {

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

Endpoint FromSocketAddress(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

}  // namespace cowslip::link
