#include "cowslip/daemon/poller.h"

#include <sys/epoll.h>

namespace cowslip::daemon {

Poller::Poller() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

void Poller::Add(int fd, std::uint64_t tag) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = tag;
  epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event);
}

void Poller::Remove(int fd) {
  epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

std::span<const std::uint64_t> Poller::Wait(std::chrono::milliseconds timeout) {
  std::array<epoll_event, kCapacity> events;
  const int count = epoll_wait(epoll_.get(), events.data(), kCapacity,
                               static_cast<int>(timeout.count()));
  const auto ready = static_cast<std::size_t>(count < 0 ? 0 : count);
  for (std::size_t i = 0; i < ready; ++i) tags_[i] = events[i].data.u64;
  return {tags_.data(), ready};
}

}  // namespace cowslip::daemon
