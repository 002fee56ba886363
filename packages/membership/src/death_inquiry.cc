#include "cowslip/membership/death_inquiry.h"

#include <algorithm>

namespace cowslip::membership {

FailureConfirmation::FailureConfirmation(const ConfirmationId& id,
                                         std::vector<Witness> candidates,
                                         TimePoint now, Duration answer_timeout)
    : id_(id),
      candidates_(std::move(candidates)),
      has_local_witness_(
          std::any_of(candidates_.begin(), candidates_.end(),
                      [](const Witness& witness) { return witness.local; })),
      reply_timeout_(answer_timeout),
      deadline_(now + answer_timeout) {}

std::span<const Witness> FailureConfirmation::NextStage(TimePoint now) {
  const auto begin = asked_.size();
  const auto stage = begin == 0 ? kFirstStage : kSecondStage;
  const auto end = std::min(candidates_.size(), begin + stage);
  in_second_stage_ = begin > 0;
  deadline_ = now + reply_timeout_;
  for (auto i = begin; i < end; ++i) asked_.push_back({candidates_[i]});
  return std::span<const Witness>(candidates_).subspan(begin, end - begin);
}

void FailureConfirmation::OnProbeReply(UpstreamId witness, bool reachable) {
  for (auto& asked : asked_) {
    if (asked.witness.id != witness) continue;
    asked.reply = reachable ? Reply::kReachable : Reply::kUnreachable;
  }
}

bool FailureConfirmation::AllReplied() const {
  return std::none_of(
      asked_.begin(), asked_.end(),
      [](const AskedWitness& asked) { return asked.reply == Reply::kNone; });
}

WitnessCount FailureConfirmation::count() const {
  WitnessCount count;
  count.asked = static_cast<double>(asked_.size());
  for (const auto& asked : asked_) {
    if (asked.reply != Reply::kNone) ++count.answered;
  }
  return count;
}

/// A partition between data centres looks like the death of all upstreams on
/// the other side. Only a witness on that side can distinguish the two.
bool FailureConfirmation::LocallyConfirmed() const {
  if (!has_local_witness_) return true;
  return std::any_of(
      asked_.begin(), asked_.end(), [](const AskedWitness& asked) {
        return asked.witness.local && asked.reply == Reply::kUnreachable;
      });
}

bool FailureConfirmation::IsWithMajority(const WitnessCount& history) const {
  const auto now = count();
  if (asked_.size() == candidates_.size()) {
    // Every candidate was asked: the reporter and the witnesses that replied
    // must be more than half of all members, subject and reporter included.
    return (now.answered + 1) * 2 > now.asked + 2;
  }
  // Only a sample was asked, which may not be representative: two thirds of it
  // must have replied, earlier confirmations included.
  const auto asked = now.asked + history.asked;
  const auto answered = now.answered + history.answered;
  return answered * 3 >= asked * 2;
}

ConfirmationResult FailureConfirmation::Evaluate(
    TimePoint now, bool others_unresponsive,
    const WitnessCount& history) const {
  const bool refuted =
      std::any_of(asked_.begin(), asked_.end(), [](const AskedWitness& asked) {
        return asked.reply == Reply::kReachable;
      });
  if (refuted) return ConfirmationResult::kRefuted;
  const bool all_replied = AllReplied();
  if (!all_replied && now < deadline_) return ConfirmationResult::kPending;
  const bool unambiguous =
      all_replied && !others_unresponsive && LocallyConfirmed();
  if (!unambiguous && !in_second_stage_ && asked_.size() < candidates_.size()) {
    return ConfirmationResult::kAskMore;
  }
  return LocallyConfirmed() && IsWithMajority(history)
             ? ConfirmationResult::kConfirmed
             : ConfirmationResult::kInconclusive;
}

}  // namespace cowslip::membership
