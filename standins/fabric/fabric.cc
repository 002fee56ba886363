#include "standins/fabric/fabric.h"

#include <algorithm>

namespace cowslip::standin {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::minutes kIdleTimeout{10};
constexpr std::chrono::seconds kSweepInterval{10};
/// Datagrams read from one socket before the next socket is served.
constexpr int kMaxBatch = 64;

}  // namespace

std::optional<Fabric> Fabric::Create(const std::vector<Endpoint>& vips,
                                     std::uint64_t seed, FabricState& state,
                                     LastReason<StandinError>& reason) {
  auto epoll = Epoll::Create(reason);
  if (!epoll) return std::nullopt;
  Fabric fabric(std::move(*epoll), seed, state);
  for (const auto& vip : vips) {
    if (!fabric.AddVip(vip, reason)) return std::nullopt;
  }
  return fabric;
}

Fabric::Fabric(Epoll epoll, std::uint64_t seed, FabricState& state)
    : epoll_(std::move(epoll)),
      injector_(seed),
      state_(state),
      buffer_(std::make_unique<std::array<std::byte, kMaxDatagramBytes>>()) {}

bool Fabric::AddVip(const Endpoint& endpoint,
                    LastReason<StandinError>& reason) {
  auto socket = UdpSocket::Create(endpoint, reason);
  if (!socket) return false;
  const int fd = socket->fd();
  auto shared = std::make_shared<const UdpSocket>(std::move(*socket));
  vips_[fd] = std::make_unique<Vip>(Vip{endpoint, std::move(shared)});
  return epoll_.AddReadable(fd);
}

void Fabric::Run(int stop_fd) {
  epoll_.AddReadable(stop_fd);
  while (true) {
    const auto events = epoll_.Wait(WaitLimit(Clock::now()));
    const auto now = Clock::now();
    for (const auto& event : events) {
      if (event.data.fd == stop_fd) return;
      OnReadable(event.data.fd, now);
    }
    DeliverDue(Clock::now());
    if (now >= next_sweep_) RemoveIdle(now);
  }
}

void Fabric::OnReadable(int fd, TimePoint now) {
  const auto vip = vips_.find(fd);
  if (vip != vips_.end()) {
    ReadFromCallers(*vip->second, now);
  } else if (CallerFlow* flow = callers_.FindBySocket(fd)) {
    ReadFromBalancers(*flow, now);
  }
}

void Fabric::ReadFromCallers(const Vip& vip, TimePoint now) {
  for (int i = 0; i < kMaxBatch; ++i) {
    const auto datagram = vip.socket->Receive(*buffer_);
    if (!datagram) return;
    ++state_.stats().from_callers;
    Forward(vip, *datagram, now);
  }
}

void Fabric::Forward(const Vip& vip, const ReceivedDatagram& datagram,
                     TimePoint now) {
  CallerFlow* flow = FindOrAdd(datagram.source, vip, now);
  if (flow == nullptr) {
    ++state_.stats().without_socket;
    return;
  }
  flow->last_used = now;
  const auto balancer = state_.PickBalancer(vip.endpoint);
  if (!balancer) {
    ++state_.stats().without_balancer;
    return;
  }
  Schedule(flow->socket, *balancer, datagram.size, now);
}

CallerFlow* Fabric::FindOrAdd(const Endpoint& caller, const Vip& vip,
                              TimePoint now) {
  if (CallerFlow* flow = callers_.Find(caller, vip.endpoint)) return flow;
  CallerFlow* flow = callers_.Add(caller, vip, now);
  if (flow != nullptr) epoll_.AddReadable(flow->socket->fd());
  state_.stats().callers = callers_.size();
  return flow;
}

void Fabric::ReadFromBalancers(CallerFlow& flow, TimePoint now) {
  for (int i = 0; i < kMaxBatch; ++i) {
    const auto datagram = flow.socket->Receive(*buffer_);
    if (!datagram) return;
    ++state_.stats().from_balancers;
    if (!state_.IsReplyFrom(datagram->source, flow.vip->endpoint)) {
      ++state_.stats().foreign_replies;
      continue;
    }
    flow.last_used = now;
    Schedule(flow.vip->socket, flow.caller, datagram->size, now);
  }
}

void Fabric::Schedule(const std::shared_ptr<const UdpSocket>& socket,
                      const Endpoint& destination, std::size_t size,
                      TimePoint now) {
  const auto plan = injector_.Plan(state_.faults());
  if (!plan.first) {
    ++state_.stats().lost;
    return;
  }
  Deliver(socket, destination, size, *plan.first, now);
  if (!plan.second) return;
  ++state_.stats().duplicated;
  Deliver(socket, destination, size, *plan.second, now);
}

void Fabric::Deliver(const std::shared_ptr<const UdpSocket>& socket,
                     const Endpoint& destination, std::size_t size,
                     Duration delay, TimePoint now) {
  const auto payload = std::span(*buffer_).first(size);
  auto& stats = state_.stats();
  ++(vips_.count(socket->fd()) != 0 ? stats.to_callers : stats.to_balancers);
  if (delay > Duration::zero()) {
    queue_.Add(now + delay, socket, destination,
               {payload.begin(), payload.end()});
    return;
  }
  if (!socket->Send(destination, payload)) ++stats.send_failures;
}

void Fabric::DeliverDue(TimePoint now) {
  while (const auto delivery = queue_.PopDue(now)) {
    const bool is_sent =
        delivery->socket->Send(delivery->destination, delivery->payload);
    if (!is_sent) ++state_.stats().send_failures;
  }
}

void Fabric::RemoveIdle(TimePoint now) {
  next_sweep_ = now + kSweepInterval;
  callers_.RemoveIdle(now - kIdleTimeout);
  state_.stats().callers = callers_.size();
}

Duration Fabric::WaitLimit(TimePoint now) const {
  const Duration limit = kSweepInterval;
  const auto due = queue_.NextDue();
  return due ? std::min(limit, *due - now) : limit;
}

}  // namespace cowslip::standin
