#include "cowslip/outlier/response_statistics.h"

#include <algorithm>
#include <cmath>

namespace cowslip::outlier {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::microseconds kMinTime{1};

}  // namespace

/// The times are averaged by their logarithms: three in a hundred requests that
/// cost seven times the mean change the arithmetic mean of 36 requests by a
/// sixth of it from one second to the next, this mean by a twentieth.
void ResponseStatistics::OnFirstByte(const Endpoint& address, Duration time,
                                     TimePoint now) {
  const auto limited = std::clamp<Duration>(time, kMinTime, kMaxTime);
  auto& service = services_.FindOrAdd(address);
  service.log_seconds.Add(std::log2(Seconds(limited).count()), now);
  ++service.times;
}

bool ResponseStatistics::IsSuspicious(const Endpoint& address,
                                      std::uint64_t bytes) const {
  const auto* service = services_.Find(address);
  return service != nullptr && service->size.IsSuspicious(bytes);
}

void ResponseStatistics::OnAnswered(const Endpoint& address,
                                    std::uint64_t bytes, bool judge_size,
                                    TimePoint now) {
  auto& service = services_.FindOrAdd(address);
  const bool failed = judge_size && service.size.IsSuspicious(bytes);
  if (judge_size) service.size.Add(bytes);
  Count(service, failed, now);
}

void ResponseStatistics::OnFailed(const Endpoint& address, TimePoint now) {
  Count(services_.FindOrAdd(address), true, now);
}

void ResponseStatistics::Count(Service& service, bool failed, TimePoint now) {
  service.failed.Add(failed ? 1 : 0, now);
  ++service.requests;
  failures_ += failed ? 1 : 0;
  good_run_ = failed ? 0 : good_run_ + 1;
}

ResponseReport ResponseStatistics::Report(const Endpoint& address,
                                          TimePoint now) const {
  ResponseReport report;
  report.is_empty = services_.rows().empty();
  report.failures = static_cast<std::uint8_t>(failures_);
  report.good_run = static_cast<std::uint8_t>(
      std::min<std::uint64_t>(good_run_, ResponseReport::kMaxGoodRun));
  const auto* service = services_.Find(address);
  if (service == nullptr) return report;
  if (service->requests >= kMinRequests) {
    report.failure_share = service->failed.SumAt(now) /
                           (service->failed.WeightAt(now) + kAssumedAnswered);
  }
  if (service->times >= kMinRequests) {
    report.response_time = std::chrono::duration_cast<Duration>(
        Seconds(std::exp2(service->log_seconds.Mean() -
                          service->log_seconds.StandardError())));
  }
  return report;
}

}  // namespace cowslip::outlier
