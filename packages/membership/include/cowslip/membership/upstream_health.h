#pragma once

#include <cstdint>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::membership {

/// Thresholds and intervals of an UpstreamHealth.
struct UpstreamHealthOptions {
  /// Time without an answer after which the upstream is probed, and interval of
  /// the probes.
  Duration probe_period{std::chrono::seconds(1)};
  /// Refusals in a row, without an answer between them, that make it down.
  std::uint32_t refusal_threshold = 2;
  /// Time without a refusal, counted from a probe, after which an upstream that
  /// refused counts as up again although it doesn't answer.
  Duration recovery_time{std::chrono::milliseconds(1500)};
  /// Time for which an answer takes precedence over a health hint.
  Duration answer_validity{std::chrono::seconds(5)};
  /// Time that a state must last before it is announced.
  Duration debounce{std::chrono::milliseconds(500)};
  /// Shortest interval between two announcements. It doubles with each one, up
  /// to max_announce_interval, while the state keeps changing, and is reset
  /// after a pause of twice max_announce_interval.
  Duration min_announce_interval{std::chrono::seconds(2)};
  Duration max_announce_interval{std::chrono::seconds(64)};
};

/// Tracks whether the local upstream's process is up, and when a change is to
/// be announced to the other members.
///
/// The state follows from the sidecar's sockets: a refused datagram (no process
/// listens) or an answer. The result of a health endpoint is only a hint, used
/// while there is neither.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(const UpstreamHealthOptions& options)
      : options_(options) {}

  /// Handles a refused datagram: no process listens at the upstream's address.
  void OnRefused(TimePoint now);
  /// Handles any datagram from the upstream.
  void OnAnswered(TimePoint now);
  /// Handles the result of a health endpoint.
  void OnHealthHint(bool healthy, TimePoint now);
  /// Ends a down state after recovery_time. Call it every 10 to 500 ms.
  void OnTick(TimePoint now);

  /// @return whether a probe of the upstream is due; the caller sends it.
  bool TakeProbe(TimePoint now);
  /// @return the state to announce if an announcement is due; each change is
  ///     returned once.
  std::optional<UpstreamState> TakeAnnouncement(TimePoint now);
  bool down() const { return down_; }

 private:
  void SetDown(bool down, TimePoint now);

  UpstreamHealthOptions options_;
  bool down_ = false;
  bool announced_down_ = false;
  bool hint_is_down_ = false;
  std::uint32_t refusals_ = 0;
  std::optional<TimePoint> last_refused_at_;
  std::optional<TimePoint> last_answered_;
  std::optional<TimePoint> last_probe_;
  /// First probe since the last refusal or answer.
  std::optional<TimePoint> first_open_probe_;
  std::optional<TimePoint> last_announced_;
  TimePoint changed_at_{};
  Duration announce_interval_{};
};

}  // namespace cowslip::membership
