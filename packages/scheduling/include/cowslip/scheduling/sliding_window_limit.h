#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "cowslip/base.h"

namespace cowslip::scheduling {

/// Limits events to a number in any window of one second, both ends included.
///
/// Keeps the time of each event of the last second: a counter for each second
/// would allow twice the number around the end of a second.
class SlidingWindowLimit {
 public:
  static constexpr std::chrono::seconds kWindow{1};
  /// Highest limit that is enforced, 80 kB of times; higher ones count as this
  /// one.
  static constexpr std::uint32_t kMaxLimit = 10'000;

  /// @param limit events in a window, at least 1.
  void SetLimit(std::uint32_t limit);
  /// An event has taken place, within the limit or not.
  void OnEvent(TimePoint now);
  /// Counts as many events as the limit allows at a point of time, as it is not
  /// known which ones took place until then.
  void AssumeUsed(TimePoint at) { assumed_at_ = at; }
  /// Events before this time no longer count.
  void ForgetBefore(TimePoint time);
  /// @return whether AssumeUsed() is in force.
  const std::optional<TimePoint>& assumed_at() const { return assumed_at_; }
  void ForgetAssumption() { assumed_at_.reset(); }

  /// @param ahead events that come first, each as soon as it is permitted.
  /// @param reserved events of the limit that are kept for others; at least one
  /// is not.
  /// @return when a further event is permitted, at least `now`.
  TimePoint PermittedAt(TimePoint now, std::size_t ahead = 0,
                        std::uint32_t reserved = 0) const;

 private:
  std::uint32_t limit_ = 1;
  /// Times of the latest events, in their order.
  std::deque<TimePoint> events_;
  std::optional<TimePoint> assumed_at_;
};

}  // namespace cowslip::scheduling
