#include "cowslip/scheduling/sliding_window_limit.h"

#include <algorithm>

namespace cowslip::scheduling {
namespace {

/// Time after an event from which on it is outside of a window that ends now.
constexpr Duration kClearAfter = SlidingWindowLimit::kWindow + Duration(1);

}  // namespace

void SlidingWindowLimit::SetLimit(std::uint32_t limit) {
  limit_ = std::clamp<std::uint32_t>(limit, 1, kMaxLimit);
}

void SlidingWindowLimit::OnEvent(TimePoint now) {
  while (!events_.empty() && (now >= events_.front() + kClearAfter ||
                              events_.size() >= kMaxLimit)) {
    events_.pop_front();
  }
  events_.push_back(now);
}

void SlidingWindowLimit::ForgetBefore(TimePoint time) {
  while (!events_.empty() && events_.front() < time) events_.pop_front();
}

TimePoint SlidingWindowLimit::PermittedAt(TimePoint now, std::size_t ahead,
                                          std::uint32_t reserved) const {
  const auto limit = reserved < limit_ ? limit_ - reserved : 1;
  const auto first = std::partition_point(
      events_.begin(), events_.end(),
      [&](TimePoint event) { return now >= event + kClearAfter; });
  const auto present = static_cast<std::size_t>(events_.end() - first);
  // The event that has to leave the window before. Of the events to come, each
  // one waits for the one that is `limit` places ahead of it.
  const auto in_round = ahead % limit;
  const auto rounds = static_cast<Duration::rep>(ahead / limit);
  auto permitted_at = now;
  if (present + in_round >= limit) {
    const auto index = static_cast<std::ptrdiff_t>(present + in_round - limit);
    permitted_at = std::max(permitted_at, *(first + index) + kClearAfter);
  }
  if (assumed_at_) {
    permitted_at = std::max(permitted_at, *assumed_at_ + kClearAfter);
  }
  return permitted_at + rounds * kClearAfter;
}

}  // namespace cowslip::scheduling
