#include "cowslip/peers/start_schedule.h"

#include <algorithm>

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;

/// Times of comparisons after the start. Sidecars only need the entries of
/// balancers, so they begin when these have found each other.
constexpr std::array kBalancerRounds{
    milliseconds(60),  milliseconds(80),  milliseconds(100), milliseconds(140),
    milliseconds(260), milliseconds(320), milliseconds(380), milliseconds(440)};
constexpr std::array kSidecarRounds{milliseconds(120), milliseconds(200),
                                    milliseconds(260), milliseconds(340),
                                    milliseconds(420)};

}  // namespace

void StartSchedule::OnBalancerMessage(InstanceAddress sender,
                                      bool has_entries) {
  const bool was_asked =
      std::find(asked_.begin(), asked_.end(), sender) != asked_.end();
  answered_ |= was_asked || has_entries;
  // A sidecar that has just got what it lacked is not likely to lack more.
  if (balancer_ || !has_entries || !awaits_entries_) return;
  awaits_entries_ = false;
  if (NextComparison()) ++rounds_;
}

InstanceAddress StartSchedule::NextToAsk(
    std::span<const InstanceAddress> balancers, std::mt19937_64& random) {
  if (balancers.empty()) return 0;
  std::vector<InstanceAddress> left;
  std::ranges::copy_if(
      balancers, std::back_inserter(left), [this](InstanceAddress each) {
        return std::find(asked_.begin(), asked_.end(), each) == asked_.end();
      });
  if (left.empty()) {
    asked_.clear();
    left.assign(balancers.begin(), balancers.end());
  }
  const auto chosen = left[std::uniform_int_distribution<std::size_t>(
      0, left.size() - 1)(random)];
  asked_.push_back(chosen);
  return chosen;
}

std::optional<TimePoint> StartSchedule::NextComparison() const {
  const auto rounds = balancer_ ? std::span<const milliseconds>(kBalancerRounds)
                                : std::span<const milliseconds>(kSidecarRounds);
  if (asking() || rounds_ == rounds.size()) return std::nullopt;
  return *started_at_ + rounds[rounds_];
}

bool StartSchedule::IsDue(TimePoint last, std::chrono::milliseconds usual,
                          TimePoint now) const {
  if (!started_at_) return true;
  if (asking()) return now - last >= kHelloInterval;
  const auto comparison = NextComparison();
  return now - last >= usual || (comparison && now >= *comparison);
}

bool StartSchedule::OnRound(TimePoint now) {
  if (!started_at_) started_at_ = now;
  bool compares = false;
  for (auto next = NextComparison(); next && now >= *next;
       next = NextComparison()) {
    compares = true;
    awaits_entries_ = true;
    ++rounds_;
  }
  // Balancers of earlier builds answer a heartbeat of a sidecar, but not its
  // digests, so sidecars send both in turn.
  return compares && (balancer_ || rounds_ % 2 == 1);
}

}  // namespace cowslip::peers
