#include "standins/fabric/epoll.h"

#include <algorithm>

namespace cowslip::standin {

std::optional<Epoll> Epoll::Create(LastReason<StandinError>& reason) {
  UniqueFd fd(epoll_create1(EPOLL_CLOEXEC));
  if (!fd) {
    reason.Set(StandinError::kSystem, "epoll_create1");
    return std::nullopt;
  }
  return Epoll(std::move(fd));
}

bool Epoll::AddReadable(int fd) const {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  return epoll_ctl(fd_.get(), EPOLL_CTL_ADD, fd, &event) == 0;
}

std::span<const epoll_event> Epoll::Wait(Duration limit) {
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(limit);
  const auto timeout =
      std::max<std::chrono::milliseconds::rep>(rounded.count(), 0);
  const int count = epoll_wait(fd_.get(), events_.data(), kMaxEvents,
                               static_cast<int>(timeout));
  return std::span(events_).first(static_cast<std::size_t>(std::max(count, 0)));
}

}  // namespace cowslip::standin
