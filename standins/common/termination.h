#pragma once

#include <optional>

#include "cowslip/base/last_reason.h"
#include "standins/common/standin_error.h"
#include "standins/common/unique_fd.h"

namespace cowslip::standin {

/// Receives SIGTERM and SIGINT as a readable file descriptor.
///
/// Create it before any thread starts, so that all threads block the signals.
class Termination {
 public:
  static std::optional<Termination> Create(LastReason<StandinError>& reason);

  int fd() const { return fd_.get(); }
  /// Blocks until a signal arrives.
  void Wait() const;

 private:
  explicit Termination(UniqueFd fd) : fd_(std::move(fd)) {}

  UniqueFd fd_;
};

}  // namespace cowslip::standin
