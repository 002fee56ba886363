#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "cowslip/segment.h"

namespace cowslip::segment::test {

/// Progress of a caller's connection and its last request.
enum class CallState {
  kIdle,
  kOpening,
  kWaiting,
  kAnswered,
  kReset,
  kTimedOut
};

/// One caller's connection in virtual time; retransmits packets as real callers
/// do.
class FakeCaller {
 public:
  /// Callbacks into the simulation: network, timers and clock.
  struct Output {
    std::function<void(const Segment&)> send;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> after;
    std::function<TimePoint()> now;
  };

  FakeCaller(const FlowKey& flow, Output output)
      : flow_(flow), output_(std::move(output)) {}

  /// Sends a SYN; the first request follows as soon as it is answered.
  void Open();
  /// Sends another request on the open connection.
  void Ask();
  void OnPacket(const Segment& segment);
  /// Gives up: resets the connection.
  void Abort();
  /// Closes the connection from the caller's side.
  void SendFin();

  CallState state() const { return state_; }
  bool open() const { return open_; }
  /// @return time from the request to its end.
  Duration elapsed() const { return ended_ - started_; }
  const FlowKey& flow() const { return flow_; }

 private:
  void SendSyn(std::uint32_t copy);
  void RetransmitRequest(int request, std::chrono::milliseconds delay);
  void SendRequest();
  void Finish(CallState state);

  FlowKey flow_;
  Output output_;
  CallState state_ = CallState::kIdle;
  bool open_ = false;
  int request_ = 0;
  std::uint32_t seq_ = 500;
  std::uint32_t ack_ = 0;
  TimePoint started_{};
  TimePoint ended_{};
};

}  // namespace cowslip::segment::test
