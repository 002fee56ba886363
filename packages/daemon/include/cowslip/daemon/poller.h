#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <span>

#include "cowslip/link.h"

struct epoll_event;

namespace cowslip::daemon {

/// Waits until any of a set of sockets is readable (epoll, level-triggered).
class Poller {
 public:
  Poller();

  /// Adds a socket. @param tag identifies it in the result of Wait().
  void Add(int fd, std::uint64_t tag);
  void Remove(int fd);
  /// @return the tags of readable sockets, at most kCapacity; valid until the
  ///     next call.
  std::span<const std::uint64_t> Wait(std::chrono::milliseconds timeout);

 private:
  static constexpr std::size_t kCapacity = 64;

  link::FileDescriptor epoll_;
  std::array<std::uint64_t, kCapacity> tags_{};
};

}  // namespace cowslip::daemon
