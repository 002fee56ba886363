#include "cowslip/membership/failure_confirmation.h"

#include <algorithm>

namespace cowslip::membership {

FailureConfirmation::FailureConfirmation(const ConfirmationId& id,
                                         std::vector<Witness> candidates,
                                         TimePoint now, Duration answer_timeout)
    : id_(id),
      candidates_(std::move(candidates)),
      local_exists_(
          std::any_of(candidates_.begin(), candidates_.end(),
                      [](const Witness& witness) { return witness.local; })),
      answer_timeout_(answer_timeout),
      deadline_(now + answer_timeout) {}

std::span<const Witness> FailureConfirmation::NextStage(TimePoint now) {
  const auto begin = asked_.size();
  const auto stage = begin == 0 ? kFirstStage : kSecondStage;
  const auto end = std::min(candidates_.size(), begin + stage);
  widened_ = begin > 0;
  deadline_ = now + answer_timeout_;
  for (auto i = begin; i < end; ++i) asked_.push_back({candidates_[i]});
  return std::span<const Witness>(candidates_).subspan(begin, end - begin);
}

void FailureConfirmation::OnProbeReply(UpstreamId witness, bool reachable) {
  for (auto& asked : asked_) {
    if (asked.witness.id != witness) continue;
    asked.answer = reachable ? Answer::kReachable : Answer::kUnreachable;
  }
}

bool FailureConfirmation::Complete() const {
  return std::none_of(asked_.begin(), asked_.end(), [](const Asked& asked) {
    return asked.answer == Answer::kNone;
  });
}

WitnessCount FailureConfirmation::count() const {
  WitnessCount count;
  count.asked = static_cast<double>(asked_.size());
  for (const auto& asked : asked_) {
    if (asked.answer != Answer::kNone) ++count.answered;
  }
  return count;
}

/// A split between data centres looks like the death of all upstreams on the
/// other side; only a witness on that side tells them apart.
bool FailureConfirmation::LocallyConfirmed() const {
  if (!local_exists_) return true;
  return std::any_of(asked_.begin(), asked_.end(), [](const Asked& asked) {
    return asked.witness.local && asked.answer == Answer::kUnreachable;
  });
}

bool FailureConfirmation::WithMajority(const WitnessCount& history) const {
  const auto now = count();
  if (asked_.size() == candidates_.size()) {
    // Everybody was asked: the reporter and those who answered must be more
    // than half, the subject counted in.
    return (now.answered + 1) * 2 > now.asked + 2;
  }
  // A sample may mislead, so it takes two thirds of it, earlier ones included.
  const auto asked = now.asked + history.asked;
  const auto answered = now.answered + history.answered;
  return answered * 3 >= asked * 2;
}

ConfirmationResult FailureConfirmation::Evaluate(
    TimePoint now, bool other_silence, const WitnessCount& history) const {
  const bool refuted = std::any_of(
      asked_.begin(), asked_.end(),
      [](const Asked& asked) { return asked.answer == Answer::kReachable; });
  if (refuted) return ConfirmationResult::kRefuted;
  const bool complete = Complete();
  if (!complete && now < deadline_) return ConfirmationResult::kPending;
  const bool clear = complete && !other_silence && LocallyConfirmed();
  if (!clear && !widened_ && asked_.size() < candidates_.size()) {
    return ConfirmationResult::kAskMore;
  }
  return LocallyConfirmed() && WithMajority(history)
             ? ConfirmationResult::kConfirmed
             : ConfirmationResult::kInconclusive;
}

}  // namespace cowslip::membership
