#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

#include "cowslip/base/clock.h"
#include "cowslip/base/endpoint.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/standin_error.h"
#include "standins/common/udp_socket.h"

namespace cowslip::standin {

/// Sends numbered datagrams to an echo service and waits for the echo of each.
class DatagramCaller {
 public:
  /// @param local address to send from, std::nullopt for any.
  static std::optional<DatagramCaller> Create(
      const Endpoint& server, const std::optional<Endpoint>& local,
      LastReason<StandinError>& reason);

  /// Sends "text number" and prints the answer, or that it timed out, as one
  /// line.
  /// @return false if no echo came in time.
  bool Exchange(const std::string& text, std::uint64_t number,
                std::chrono::milliseconds timeout, std::ostream& out) const;

 private:
  DatagramCaller(const Endpoint& server, UdpSocket socket)
      : server_(server), socket_(std::move(socket)) {}

  /// @return the next answer that ends with `payload`.
  std::optional<std::string> AwaitEcho(const std::string& payload,
                                       TimePoint deadline) const;

  Endpoint server_;
  UdpSocket socket_;
};

}  // namespace cowslip::standin
