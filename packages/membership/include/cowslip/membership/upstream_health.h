#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Limits of an UpstreamHealth.
struct UpstreamHealthOptions {
  /// Silence after which the upstream is probed.
  Duration probe_period{std::chrono::seconds(1)};
  /// Refusals in a row, without an answer, that make it down.
  std::uint32_t refusal_threshold = 2;
  /// Time without a refusal after a probe that makes a silent one up again.
  Duration recovery_time{std::chrono::milliseconds(1500)};
  /// How long an answer outweighs a health hint.
  Duration answer_validity{std::chrono::seconds(5)};
  /// Time that a state must last before it is announced.
  Duration debounce{std::chrono::milliseconds(500)};
  /// First interval between two announcements; doubles while it flaps.
  Duration min_announce_interval{std::chrono::seconds(2)};
  Duration max_announce_interval{std::chrono::seconds(64)};
};

/// Judges from its sockets whether the process of the own upstream lives, and
/// when to announce a change.
///
/// A refused datagram or an answer is evidence; a health endpoint is a hint
/// that counts only without evidence.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(const UpstreamHealthOptions& options)
      : options_(options) {}

  /// A datagram was refused: no process listens there.
  void OnRefused(TimePoint now);
  /// Any datagram came from the upstream.
  void OnAnswered(TimePoint now);
  void OnHealthHint(bool healthy, TimePoint now);
  /// Call it every 10 to 500 ms.
  void OnTick(TimePoint now);

  /// @return true if the upstream should be probed now.
  bool TakeProbe(TimePoint now);
  /// @return the state to announce, once when it is due.
  std::optional<UpstreamState> TakeAnnouncement(TimePoint now);
  bool down() const { return down_; }

 private:
  void Set(bool down, TimePoint now);

  UpstreamHealthOptions options_;
  bool down_ = false;
  bool announced_down_ = false;
  bool hinted_down_ = false;
  std::uint32_t refusals_ = 0;
  std::optional<TimePoint> last_refused_;
  std::optional<TimePoint> last_answered_;
  std::optional<TimePoint> last_probe_;
  std::optional<TimePoint> first_quiet_probe_;
  std::optional<TimePoint> last_announced_;
  TimePoint changed_{};
  Duration interval_{};
};

}  // namespace cowslip::membership
