#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/scheduling/request_rate.h"
#include "cowslip/scheduling/sliding_window_limit.h"

namespace cowslip::scheduling {

/// Limits the requests that an upstream is given while it warms up.
///
/// Load pattern: an upstream, or a whole data centre, that has just started and
/// is slow, while callers crowd in. Runs beside the upstream, where the
/// requests of all balancers meet.
///
/// All times count suspensions of the machine: callers pass the steady clock,
/// which does not, and SetSuspendedTime() tells what it has left out.
class WarmUpLimiter {
 public:
  /// What a report says of the upstream's process.
  struct Report {
    /// Start of the process, time of day; 0 if it is not known.
    std::chrono::milliseconds started_at{};
    std::chrono::milliseconds warm_up_left{};
    bool restarted = false;  ///< First report of another process.
  };
  /// The platform waits for longer than this before it starts a process again,
  /// so an upstream that started within it before this process was given
  /// nothing by an earlier one. Both start at nearly the same time when their
  /// machine does.
  static constexpr std::chrono::milliseconds kMinRestartDelay{100};

  /// This process has started. What an earlier one gave the upstream is not
  /// known, so the whole limit counts as used at this moment.
  void OnProcessStarted(TimePoint now, std::chrono::milliseconds time_of_day);
  /// Sets how long the machine has been suspended since the process started.
  void SetSuspendedTime(Duration total) { suspended_ = total; }
  /// The configuration with this number sets a limit, or none. Those of an
  /// earlier number than the newest one are ignored.
  void OnLimit(std::uint64_t config, RequestRate limit);
  /// The store has come back from an older copy, so numbers may be lower.
  void OnStoreReturned() { config_ = 0; }
  /// Handles a report of the upstream's present process.
  void OnReport(const Report& report, TimePoint now);
  /// The upstream has shown that it may be a new process. It counts as cold
  /// until its next report.
  void OnMayHaveRestarted() { cold_until_.reset(); }
  /// The upstream was given a request, within the limit or not.
  void OnGiven(TimePoint now) {
    last_given_ = Counted(now);
    window_.OnEvent(last_given_);
  }

  /// @return when the process of a report started, on the clock of `now`; `now`
  /// if that is not known. No process starts after its report, although a clock
  /// that was set may say so.
  TimePoint StartOf(const Report& report, TimePoint now) const;

  RequestRate limit() const { return limit_; }
  /// @return whether the upstream is warming up; unless a report has told, it
  /// is.
  bool IsCold(TimePoint now) const {
    return !cold_until_ || Counted(now) < *cold_until_;
  }
  /// @return whether requests are limited now.
  bool IsLimiting(TimePoint now) const {
    return limit_.is_limit() && IsCold(now);
  }
  /// @param ahead requests that are given first, each as soon as possible.
  /// @return the time until a further request is permitted.
  Duration Wait(TimePoint now, std::size_t ahead = 0) const;
  bool Permits(TimePoint now) const { return Wait(now) == Duration::zero(); }
  /// The same of a request whose response would be late. They are spread evenly
  /// over a second and may not use all of the limit: callers that wait since an
  /// outage would use it up at once, and later ones, who could be in time,
  /// would wait for a second.
  Duration WaitIfLate(TimePoint now, std::size_t ahead = 0) const;
  bool PermitsLate(TimePoint now) const {
    return WaitIfLate(now) == Duration::zero();
  }
  /// @return the time until the upstream is warm as of its last report; 0
  /// without a report.
  Duration WarmUpLeft(TimePoint now) const;

 private:
  TimePoint Counted(TimePoint now) const { return now + suspended_; }

  TimePoint process_started_{};
  std::chrono::milliseconds process_started_of_day_{};
  Duration suspended_{};
  std::uint64_t config_ = 0;
  RequestRate limit_;
  /// std::nullopt if no report tells.
  std::optional<TimePoint> cold_until_;
  SlidingWindowLimit window_;
  TimePoint last_given_{};
};

}  // namespace cowslip::scheduling
