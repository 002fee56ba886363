#include "cowslip/link/stream_listener.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "cowslip/link/socket_address.h"

namespace cowslip::link {

std::optional<StreamListener> StreamListener::Bind(
    const Endpoint& local, LastReason<LinkError>& reason) {
  FileDescriptor fd(
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd.valid()) {
    reason.Set(LinkError::kSocketFailed, std::strerror(errno));
    return std::nullopt;
  }
  const int on = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = ToSocketAddress(local);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (bind(fd.get(), raw, sizeof address) != 0 ||
      listen(fd.get(), SOMAXCONN) != 0) {
    reason.Set(LinkError::kBindFailed,
               ToString(local) + ": " + std::strerror(errno));
    return std::nullopt;
  }
  return StreamListener(std::move(fd));
}

std::optional<FileDescriptor> StreamListener::Accept() const {
  FileDescriptor fd(
      accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd.valid()) return std::nullopt;
  return fd;
}

}  // namespace cowslip::link
