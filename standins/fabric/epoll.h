#pragma once

#include <sys/epoll.h>

#include <array>
#include <optional>
#include <span>

#include "cowslip/base/clock.h"
#include "cowslip/base/last_reason.h"
#include "standins/common/standin_error.h"
#include "standins/common/unique_fd.h"

namespace cowslip::standin {

/// An epoll instance that waits for readable file descriptors.
class Epoll {
 public:
  static std::optional<Epoll> Create(LastReason<StandinError>& reason);

  /// @return false if the system call fails.
  bool AddReadable(int fd) const;
  /// @return the events of readable descriptors, empty once `limit` has passed.
  std::span<const epoll_event> Wait(Duration limit);

 private:
  static constexpr std::size_t kMaxEvents = 256;

  explicit Epoll(UniqueFd fd) : fd_(std::move(fd)) {}

  UniqueFd fd_;
  std::array<epoll_event, kMaxEvents> events_{};
};

}  // namespace cowslip::standin
