#pragma once

#include <chrono>
#include <functional>

#include "platform/event_loop.h"
#include "platform/process_clock.h"

namespace cowslip::platform_adapter::test {

/// Runs an event loop until a condition holds.
/// @return whether it held within the limit.
inline bool RunUntil(EventLoop& loop, std::chrono::milliseconds limit,
                     const std::function<bool()>& done) {
  constexpr std::chrono::milliseconds kPoll{2};
  const auto ends = Now() + limit;
  bool held = false;
  EventSource poll(loop.base(), [&] {
    held = done();
    if (held || Now() >= ends) {
      loop.Stop();
    } else {
      poll.Schedule(kPoll);
    }
  });
  poll.Schedule(kPoll);
  loop.Run();
  return held;
}

inline void RunFor(EventLoop& loop, std::chrono::milliseconds time) {
  RunUntil(loop, time, [] { return false; });
}

}  // namespace cowslip::platform_adapter::test
