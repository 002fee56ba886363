#include "cowslip/segment/placement.h"

#include <algorithm>

namespace cowslip::segment {

void Placement::Offer(const PlacementCandidate& candidate) {
  if (candidate.is_local) {
    if (local_count_ < local_.size()) local_[local_count_++] = candidate;
  } else if (remote_count_ < remote_.size()) {
    remote_[remote_count_++] = candidate;
  }
}

std::span<const PlacementCandidate> Placement::Order(
    std::optional<std::chrono::milliseconds> latency_target) {
  const auto remote_count = std::min(remote_count_, kCandidates - local_count_);
  const auto count = local_count_ + remote_count;
  std::copy_n(local_.begin(), local_count_, ordered_.begin());
  std::copy_n(remote_.begin(), remote_count, ordered_.begin() + local_count_);
  const std::span<const PlacementCandidate> candidates(ordered_.data(), count);
  const auto average = AverageWait(candidates);
  std::array<Ranked, kCandidates> ranked;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& candidate = candidates[i];
    const double in_flight = 1 + kReservationShare * candidate.reservations;
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(
        candidate.wait.value_or(average) * in_flight);
    const bool in_time =
        !latency_target || wait * kLocalTargetDivisor <= *latency_target;
    ranked[i] = {candidate, candidate.is_local && in_time, wait};
  }
  std::stable_sort(ranked.begin(), ranked.begin() + count,
                   [](const auto& a, const auto& b) {
                     if (a.is_preferred != b.is_preferred) {
                       return a.is_preferred;
                     }
                     return a.wait < b.wait;
                   });
  std::transform(ranked.begin(), ranked.begin() + count, ordered_.begin(),
                 [](const auto& each) { return each.candidate; });
  return candidates;
}

std::chrono::microseconds Placement::AverageWait(
    std::span<const PlacementCandidate> candidates) {
  std::chrono::microseconds sum{0};
  int known = 0;
  for (const auto& candidate : candidates) {
    if (!candidate.wait) continue;
    sum += *candidate.wait;
    ++known;
  }
  return known == 0 ? sum : sum / known;
}

}  // namespace cowslip::segment
