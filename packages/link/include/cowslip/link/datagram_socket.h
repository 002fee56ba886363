#pragma once

#include <optional>

#include "cowslip/base.h"
#include "cowslip/link/file_descriptor.h"
#include "cowslip/link/link_error.h"

namespace cowslip::link {

/// A non-blocking UDP socket.
class DatagramSocket {
 public:
  /// Binds an address; several threads may bind the same one and share its
  /// datagrams by flow (SO_REUSEPORT). Datagrams carry their arrival time.
  static std::optional<DatagramSocket> Bind(const Endpoint& local,
                                            LastReason<LinkError>& reason);

  /// Opens a socket that talks to one peer only.
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
