#include "cowslip/outlier/response_statistics.h"

#include <algorithm>

namespace cowslip::outlier {
void ResponseStatistics::OnFirstByte(const Endpoint& address, Duration time,
                                     TimePoint now) {
  services_.FindOrAdd(address).time.Add(time, now);
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
  report.response_time = service->time.Get();
  return report;
}

}  // namespace cowslip::outlier
