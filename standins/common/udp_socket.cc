#include "standins/common/udp_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cerrno>

namespace cowslip::standin {
namespace {

constexpr int kSocketBufferBytes = 4 << 20;

sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

}  // namespace

std::optional<UdpSocket> UdpSocket::Create(const Endpoint& local,
                                           LastReason<StandinError>& reason) {
  UniqueFd fd(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) {
    reason.Set(StandinError::kSystem, "socket");
    return std::nullopt;
  }
  setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof kSocketBufferBytes);
  setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof kSocketBufferBytes);
  const auto address = ToSocketAddress(local);
  if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0) {
    reason.Set(StandinError::kCannotListen, ToString(local));
    return std::nullopt;
  }
  return UdpSocket(std::move(fd));
}

std::optional<ReceivedDatagram> UdpSocket::Receive(
    std::span<std::byte> buffer) const {
  while (true) {
    sockaddr_in source{};
    socklen_t length = sizeof source;
    const auto size = recvfrom(fd_.get(), buffer.data(), buffer.size(), 0,
                               reinterpret_cast<sockaddr*>(&source), &length);
    if (size >= 0) {
      const Endpoint endpoint{ntohl(source.sin_addr.s_addr),
                              ntohs(source.sin_port)};
      return ReceivedDatagram{endpoint, static_cast<std::size_t>(size)};
    }
    // A pending ICMP error is reported once; datagrams may still be queued
    // behind it.
    if (errno != EINTR && errno != ECONNREFUSED) return std::nullopt;
  }
}

bool UdpSocket::Send(const Endpoint& destination,
                     std::span<const std::byte> payload) const {
  const auto address = ToSocketAddress(destination);
  const auto size =
      sendto(fd_.get(), payload.data(), payload.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return size >= 0;
}

}  // namespace cowslip::standin
