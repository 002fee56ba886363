#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <span>

#include "cowslip/link.h"

struct epoll_event;

namespace cowslip::daemon {

/// Waits for readable sockets (epoll).
class Poller {
 public:
  Poller();

  /// @param tag identifies the socket in the result of Wait().
  void Add(int fd, std::uint64_t tag);
  void Remove(int fd);
  /// @return the tags of readable sockets, at most kCapacity.
  std::span<const std::uint64_t> Wait(std::chrono::milliseconds timeout);

 private:
  static constexpr std::size_t kCapacity = 64;

  link::FileDescriptor epoll_;
  std::array<std::uint64_t, kCapacity> tags_{};
};

}  // namespace cowslip::daemon
