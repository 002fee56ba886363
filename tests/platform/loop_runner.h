#pragma once

#include <chrono>
#include <functional>

#include "platform/event_loop.h"
#include "platform/process_clock.h"

namespace cowslip::platform_adapter::test {

/// Runs an event loop until a condition holds or the time limit is over.
/// @return whether the condition holds.
inline bool RunUntil(EventLoop& loop, std::chrono::milliseconds time_limit,
                     const std::function<bool()>& done) {
  constexpr std::chrono::milliseconds kPoll{2};
  const auto deadline = Now() + time_limit;
  bool holds = false;
  EventSource poll_timer(loop.base(), [&] {
    holds = done();
    if (holds || Now() >= deadline) {
      loop.Stop();
    } else {
      poll_timer.Schedule(kPoll);
    }
  });
  poll_timer.Schedule(kPoll);
  loop.Run();
  return holds;
}

/// Runs an event loop for a time.
inline void RunFor(EventLoop& loop, std::chrono::milliseconds time) {
  RunUntil(loop, time, [] { return false; });
}

}  // namespace cowslip::platform_adapter::test
