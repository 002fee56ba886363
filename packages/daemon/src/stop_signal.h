#pragma once

#include <chrono>

namespace cowslip::daemon {

/// Waits for SIGTERM and SIGINT. Create it before any thread is started, so
/// that all of them inherit the blocked signals.
class StopSignal {
 public:
  StopSignal();

  /// @return whether a signal came within the time.
  bool WaitFor(std::chrono::milliseconds time) const;
  /// Makes the process stop as if it had received SIGTERM. From any thread.
  static void Raise();
};

}  // namespace cowslip::daemon
