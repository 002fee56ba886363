#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

#include "cowslip/base/clock.h"
#include "cowslip/base/endpoint.h"
#include "standins/common/udp_socket.h"

namespace cowslip::standin {

/// A delayed datagram.
struct Delivery {
  TimePoint due;
  /// Order among deliveries due at the same time.
  std::uint64_t sequence = 0;
  std::shared_ptr<const UdpSocket> socket;
  Endpoint destination;
  std::vector<std::byte> payload;
};

/// Priority queue of delayed datagrams, earliest first.
class DeliveryQueue {
 public:
  void Add(TimePoint due, std::shared_ptr<const UdpSocket> socket,
           const Endpoint& destination, std::vector<std::byte> payload);
  /// Removes the earliest delivery if it is due.
  /// @return std::nullopt if none is due.
  std::optional<Delivery> PopDue(TimePoint now);
  std::optional<TimePoint> NextDue() const;

 private:
  struct IsLater {
    bool operator()(const Delivery& left, const Delivery& right) const;
  };

  std::priority_queue<Delivery, std::vector<Delivery>, IsLater> heap_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace cowslip::standin
