#include "cowslip/scheduling/warm_up_limiter.h"

#include <algorithm>

namespace cowslip::scheduling {
namespace {

/// Part of the limit that is kept for requests that can be in time. In
/// cold_data_center_test, with all upstreams cold, the value of the responses
/// is 0.93 of that with a quarter if late requests are neither spread nor
/// limited to the rest; with a third to four fifths it is 0.96 to 1.00.
constexpr std::uint32_t kReservedDivisor = 4;

}  // namespace

void WarmUpLimiter::OnProcessStarted(TimePoint now,
                                     std::chrono::milliseconds time_of_day) {
  process_started_ = now;
  process_started_of_day_ = time_of_day;
  window_.AssumeUsed(now);
}

void WarmUpLimiter::OnLimit(std::uint64_t config, RequestRate limit) {
  if (config < config_) return;
  config_ = config;
  limit_ = limit;
  window_.SetLimit(limit.WholePerSecond());
}

void WarmUpLimiter::OnReport(const Report& report, TimePoint now) {
  const bool is_first = !cold_until_.has_value();
  cold_until_ = Counted(now) + report.warm_up_left;
  if (!is_first && !report.restarted) return;
  if (report.started_at.count() == 0 && !report.restarted) return;
  // Requests that it was given before this report count.
  const auto started = Counted(StartOf(report, now));
  window_.ForgetBefore(started);
  if (report.restarted || started >= process_started_ - kMinRestartDelay) {
    window_.ForgetAssumption();
  }
}

TimePoint WarmUpLimiter::StartOf(const Report& report, TimePoint now) const {
  if (report.started_at.count() == 0) return now;
  const auto since = report.started_at - process_started_of_day_;
  return std::min(now, process_started_ + since - suspended_);
}

Duration WarmUpLimiter::Wait(TimePoint now, std::size_t ahead) const {
  if (!IsLimiting(now)) return Duration::zero();
  const auto counted = Counted(now);
  auto permitted_at = window_.PermittedAt(counted, ahead);
  if (cold_until_) permitted_at = std::min(permitted_at, *cold_until_);
  return permitted_at - counted;
}

Duration WarmUpLimiter::WaitIfLate(TimePoint now, std::size_t ahead) const {
  if (!IsLimiting(now)) return Duration::zero();
  const auto counted = Counted(now);
  const auto limit = limit_.WholePerSecond();
  const Duration interval = Duration(SlidingWindowLimit::kWindow) / limit;
  const auto requests = static_cast<Duration::rep>(ahead + 1);
  auto permitted_at =
      std::max(last_given_ + requests * interval,
               window_.PermittedAt(counted, ahead, limit / kReservedDivisor));
  if (cold_until_) permitted_at = std::min(permitted_at, *cold_until_);
  return std::max(permitted_at - counted, Duration::zero());
}

Duration WarmUpLimiter::WarmUpLeft(TimePoint now) const {
  if (!cold_until_) return Duration::zero();
  return std::max(*cold_until_ - Counted(now), Duration::zero());
}

}  // namespace cowslip::scheduling
