#include "cowslip/link/datagram_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "cowslip/link/socket_address.h"

namespace cowslip::link {
namespace {

constexpr int kReceiveBufferBytes = 4 << 20;

FileDescriptor OpenSocket() {
  return FileDescriptor(
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void SetOption(int fd, int name, int value) {
  setsockopt(fd, SOL_SOCKET, name, &value, sizeof value);
}

}  // namespace

std::optional<DatagramSocket> DatagramSocket::Bind(
    const Endpoint& local, LastReason<LinkError>& reason) {
  auto fd = OpenSocket();
  if (!fd.valid()) {
    reason.Set(LinkError::kSocketFailed, std::strerror(errno));
    return std::nullopt;
  }
  SetOption(fd.get(), SO_REUSEPORT, 1);
  SetOption(fd.get(), SO_TIMESTAMPNS, 1);
  SetOption(fd.get(), SO_RCVBUF, kReceiveBufferBytes);
  const auto address = ToSocketAddress(local);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (bind(fd.get(), raw, sizeof address) != 0) {
    reason.Set(LinkError::kBindFailed,
               ToString(local) + ": " + std::strerror(errno));
    return std::nullopt;
  }
  return DatagramSocket(std::move(fd));
}

std::optional<DatagramSocket> DatagramSocket::Connect(
    const Endpoint& peer, LastReason<LinkError>& reason) {
  auto fd = OpenSocket();
  const auto address = ToSocketAddress(peer);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (!fd.valid() || connect(fd.get(), raw, sizeof address) != 0) {
    reason.Set(LinkError::kSocketFailed,
               ToString(peer) + ": " + std::strerror(errno));
    return std::nullopt;
  }
  return DatagramSocket(std::move(fd));
}

Endpoint DatagramSocket::local() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return FromSocketAddress(address);
}

}  // namespace cowslip::link
