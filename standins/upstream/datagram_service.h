#pragma once

#include <optional>

#include "cowslip/base/last_reason.h"
#include "standins/common/standin_error.h"
#include "standins/common/udp_socket.h"
#include "standins/upstream/upstream_options.h"

namespace cowslip::standin {

/// Echoes each datagram, prefixed with the upstream's name.
class DatagramService {
 public:
  static std::optional<DatagramService> Create(
      const UpstreamOptions& options, LastReason<StandinError>& reason);

  /// Serves until `stop_fd` becomes readable.
  void Run(int stop_fd) const;

 private:
  DatagramService(UdpSocket socket, std::string prefix)
      : socket_(std::move(socket)), prefix_(std::move(prefix)) {}

  void EchoAll() const;

  UdpSocket socket_;
  std::string prefix_;
};

}  // namespace cowslip::standin
