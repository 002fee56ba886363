#pragma once

#include <utility>

namespace cowslip::standin {

/// Owns a file descriptor.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~UniqueFd();

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace cowslip::standin
