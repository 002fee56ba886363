#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "cowslip/base/endpoint.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/standin_error.h"
#include "standins/common/unique_fd.h"

namespace cowslip::standin {

/// Largest UDP payload over IPv4.
inline constexpr std::size_t kMaxDatagramBytes = 65507;

/// A received datagram: its sender and size.
struct ReceivedDatagram {
  Endpoint source;
  std::size_t size = 0;
};

/// A non-blocking UDP socket.
class UdpSocket {
 public:
  /// @param local port 0 picks an ephemeral port.
  static std::optional<UdpSocket> Create(const Endpoint& local,
                                         LastReason<StandinError>& reason);

  /// @return std::nullopt if no datagram is waiting.
  std::optional<ReceivedDatagram> Receive(std::span<std::byte> buffer) const;
  /// @return whether the system accepted the datagram.
  bool Send(const Endpoint& destination,
            std::span<const std::byte> payload) const;

  int fd() const { return fd_.get(); }

 private:
  explicit UdpSocket(UniqueFd fd) : fd_(std::move(fd)) {}

  UniqueFd fd_;
};

}  // namespace cowslip::standin
