#include "experiments/upstream_model.h"

#include <algorithm>

namespace cowslip::experiments {

UpstreamModel::UpstreamModel(std::uint32_t slots, double speed)
    : slots_(slots), speed_(speed) {
  for (std::uint32_t i = 0; i < slots; ++i) free_.push({});
}

Service UpstreamModel::Add(const Job& job, Duration now) {
  const auto start = std::max(now, free_.top());
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(job.demand) / speed_);
  free_.pop();
  free_.push(start + time);
  finishes_.push(start + time);
  busy_ += time;
  return {start - now, start + time};
}

std::uint32_t UpstreamModel::InProgress(Duration now) {
  while (!finishes_.empty() && finishes_.top() <= now) finishes_.pop();
  return static_cast<std::uint32_t>(finishes_.size());
}

Duration UpstreamModel::TimeToSlot(Duration now) const {
  return std::max(Duration{}, free_.top() - now);
}

}  // namespace cowslip::experiments
