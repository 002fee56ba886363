#include "experiments/upstream_model.h"

#include <algorithm>

namespace cowslip::experiments {

UpstreamModel::UpstreamModel(std::uint32_t slots, double speed)
    : slots_(slots), speed_(speed) {
  for (std::uint32_t i = 0; i < slots; ++i) slot_free_times_.push({});
}

Service UpstreamModel::Add(const Job& job, Duration now) {
  const auto start = std::max(now, slot_free_times_.top());
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(job.demand) / speed_);
  slot_free_times_.pop();
  slot_free_times_.push(start + time);
  end_times_.push(start + time);
  busy_ += time;
  return {start - now, start + time};
}

std::uint32_t UpstreamModel::InProgress(Duration now) {
  while (!end_times_.empty() && end_times_.top() <= now) end_times_.pop();
  return static_cast<std::uint32_t>(end_times_.size());
}

Duration UpstreamModel::TimeToSlot(Duration now) const {
  return std::max(Duration{}, slot_free_times_.top() - now);
}

}  // namespace cowslip::experiments
