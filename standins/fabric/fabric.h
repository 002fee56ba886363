#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "cowslip/base/clock.h"
#include "cowslip/base/endpoint.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/udp_socket.h"
#include "standins/fabric/caller_table.h"
#include "standins/fabric/delivery_queue.h"
#include "standins/fabric/epoll.h"
#include "standins/fabric/fabric_state.h"
#include "standins/fabric/fault_injector.h"

namespace cowslip::standin {

/// Sends each datagram from a caller to a random balancer and returns the
/// replies to the caller, on one thread. Injects the configured faults.
class Fabric {
 public:
  /// @param state shared with the control API; must outlive the fabric.
  static std::optional<Fabric> Create(const std::vector<Endpoint>& vips,
                                      std::uint64_t seed, FabricState& state,
                                      LastReason<StandinError>& reason);

  /// Serves until `stop_fd` becomes readable.
  void Run(int stop_fd);

 private:
  Fabric(Epoll epoll, std::uint64_t seed, FabricState& state);

  bool AddVip(const Endpoint& endpoint, LastReason<StandinError>& reason);
  void OnReadable(int fd, TimePoint now);
  void ReadFromCallers(const Vip& vip, TimePoint now);
  void ReadFromBalancers(CallerFlow& flow, TimePoint now);
  void Forward(const Vip& vip, const ReceivedDatagram& datagram, TimePoint now);
  CallerFlow* FindOrAdd(const Endpoint& caller, const Vip& vip, TimePoint now);
  /// Applies the faults to the datagram in the buffer and sends or queues it.
  void Schedule(const std::shared_ptr<const UdpSocket>& socket,
                const Endpoint& destination, std::size_t size, TimePoint now);
  void Deliver(const std::shared_ptr<const UdpSocket>& socket,
               const Endpoint& destination, std::size_t size, Duration delay,
               TimePoint now);
  void DeliverDue(TimePoint now);
  void RemoveIdle(TimePoint now);
  Duration WaitLimit(TimePoint now) const;

  Epoll epoll_;
  FaultInjector injector_;
  FabricState& state_;
  std::map<int, std::unique_ptr<Vip>> vips_;
  CallerTable callers_;
  DeliveryQueue queue_;
  TimePoint next_sweep_{};
  std::unique_ptr<std::array<std::byte, kMaxDatagramBytes>> buffer_;
};

}  // namespace cowslip::standin
