#pragma once

#include <optional>

#include "cowslip/base.h"
#include "cowslip/link/file_descriptor.h"
#include "cowslip/link/link_error.h"

namespace cowslip::link {

/// A non-blocking UDP socket.
class DatagramSocket {
 public:
  /// Binds an address. Several threads may bind the same address; the kernel
  /// then distributes the datagrams among them by flow (SO_REUSEPORT). Received
  /// datagrams carry their time of arrival.
  static std::optional<DatagramSocket> Bind(const Endpoint& local,
                                            LastReason<LinkError>& reason);

  /// Opens a socket that sends to and receives from one peer only.
  static std::optional<DatagramSocket> Connect(const Endpoint& peer,
                                               LastReason<LinkError>& reason);

  int fd() const { return fd_.get(); }
  /// @return the address that the socket is bound to.
  Endpoint local() const;

 private:
  explicit DatagramSocket(FileDescriptor fd) : fd_(std::move(fd)) {}

  FileDescriptor fd_;
};

}  // namespace cowslip::link
