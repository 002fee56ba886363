#include "standins/fabric/caller_table.h"

namespace cowslip::standin {
namespace {

constexpr std::size_t kMaxFlows = 20000;
constexpr Endpoint kAnyLoopbackPort{0x7f000001U, 0};

}  // namespace

CallerFlow* CallerTable::Find(const Endpoint& caller, const Endpoint& vip) {
  const auto found = flows_.find({caller, vip});
  return found == flows_.end() ? nullptr : &found->second;
}

CallerFlow* CallerTable::FindBySocket(int fd) {
  const auto found = by_socket_.find(fd);
  return found == by_socket_.end() ? nullptr : found->second;
}

CallerFlow* CallerTable::Add(const Endpoint& caller, const Vip& vip,
                             TimePoint now) {
  if (flows_.size() >= kMaxFlows) return nullptr;
  LastReason<StandinError> reason;
  auto socket = UdpSocket::Create(kAnyLoopbackPort, reason);
  if (!socket) return nullptr;
  auto shared = std::make_shared<const UdpSocket>(std::move(*socket));
  auto& flow = flows_[{caller, vip.endpoint}];
  flow = {caller, &vip, std::move(shared), now};
  by_socket_[flow.socket->fd()] = &flow;
  return &flow;
}

void CallerTable::RemoveIdle(TimePoint before) {
  for (auto at = flows_.begin(); at != flows_.end();) {
    if (at->second.last_used >= before) {
      ++at;
      continue;
    }
    by_socket_.erase(at->second.socket->fd());
    at = flows_.erase(at);
  }
}

}  // namespace cowslip::standin
