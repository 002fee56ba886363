#pragma once

#include <chrono>

namespace cowslip::daemon {

/// Blocks SIGTERM and SIGINT and waits for them. Create it before any thread is
/// started, so that all threads inherit the signal mask.
class StopSignal {
 public:
  StopSignal();

  /// @return whether a signal was received within the time.
  bool WaitFor(std::chrono::milliseconds time) const;
  /// Sends SIGTERM to this process. Callable from any thread.
  static void Raise();
};

}  // namespace cowslip::daemon
