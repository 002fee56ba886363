// The part of Balancer that decides about SYNs that no member has accepted.
#include <algorithm>

#include "cowslip/segment/balancer.h"
#include "syn_copy.h"

namespace cowslip::segment {
namespace {

/// Makes the choice independent of the ranking of members.
constexpr std::uint64_t kForcedChoiceSeed = 1;

}  // namespace

std::uint8_t Balancer::PriorityOf(const Segment& segment) const {
  const auto* route = routes_->Find(segment.flow.service);
  return route == nullptr ? RequestClass::kUnknownPriority : route->priority;
}

void Balancer::RefuseSyn(const Segment& segment, RefusalReason reason,
                         Outbox& out) {
  ++stats_.refused[PriorityOf(segment)][reason];
  ++stats_.resets;
  LogDecision("refuse", ToString(reason), segment.flow);
  out.SendReset(segment.flow, 0);
}

void Balancer::RefuseWithoutMember(const Segment& segment, Outbox& out) {
  const bool routed = routes_->Find(segment.flow.service) != nullptr;
  ++(routed ? stats_.no_member : stats_.no_route);
  RefuseSyn(segment,
            routed ? RefusalReason::kNoMember : RefusalReason::kNoRoute, out);
}

bool Balancer::ForceChoice(PendingPacket& syn, TimePoint now) {
  // The member with the least expected wait would get the SYNs of all balancers
  // until its next report. Of two that the flow chooses, the better one is
  // nearly as good, and the load is spread.
  const auto hash = HashFlow(syn.segment.flow, kForcedChoiceSeed);
  std::uint32_t members = 0;
  std::uint32_t outliers = 0;
  members_.AnyMember(syn.frame.service, [&](InstanceAddress member) {
    if (sidecar_states_.Capacity(member, now) == 0) return false;
    ++(IsOutlier(member) ? outliers : members);
    return false;
  });
  const bool only_outliers = members == 0;
  if (only_outliers) members = outliers;
  if (members == 0) return false;
  const std::uint64_t choices[] = {hash % members, (hash >> 32) % members};
  InstanceAddress best = 0;
  std::uint32_t index = 0;
  members_.AnyMember(syn.frame.service, [&](InstanceAddress member) {
    if (sidecar_states_.Capacity(member, now) == 0) return false;
    if (IsOutlier(member) != only_outliers) return false;
    const bool is_choice = index == choices[0] || index == choices[1];
    ++index;
    if (!is_choice) return false;
    const bool is_better =
        best == 0 || sidecar_states_.ExpectedWaitUs(member, now) <
                         sidecar_states_.ExpectedWaitUs(best, now);
    if (is_better) best = member;
    return false;
  });
  sidecar_states_.ClaimSlot(best, now);
  ++stats_.forced;
  syn.was_forced = true;
  syn.next_hop = 0;
  syn.frame.hops[0] = best;
  syn.frame.hop_count = 1;
  syn.frame.forced = true;
  return true;
}

bool Balancer::OnSynNotAccepted(PendingPacket& syn, const Ack& reported,
                                TimePoint now, Outbox& out) {
  if (OfferToOutliers(syn, reported, now, out)) return true;
  Ack ack = reported;
  if (syn.offered_to_outliers) {
    ack.overloaded |= syn.others_overloaded;
    ack.evacuated &= syn.others_evacuated;
  }
  const auto* route = routes_->Find(syn.segment.flow.service);
  // Members of earlier builds decide by the latency target alone.
  const bool classified = route != nullptr && route->IsClassified() &&
                          members_.AllReadRequestClass();
  // A pass over all members, needed only if one refused for lack of capacity.
  const bool has_capacity =
      ack.overloaded &&
      members_.AnyMember(syn.frame.service, [&](InstanceAddress member) {
        return sidecar_states_.Capacity(member, now) > 0;
      });
  syn.awaiting_ack_from = 0;
  switch (syn_refusal_.Decide(syn, ack, classified, has_capacity, now)) {
    case SynOutcome::kRefuse:
      ++stats_.overloaded;
      RefuseSyn(syn.segment, RefusalReason::kNoAnswerInTime, out);
      return false;
    case SynOutcome::kEvacuated:
      ++stats_.evacuated;
      RefuseSyn(syn.segment, RefusalReason::kEvacuated, out);
      return false;
    case SynOutcome::kForce:
      if (MayResend(syn, now) && ForceChoice(syn, now)) {
        SendToCandidates(syn, now, out);
        return true;
      }
      break;
    case SynOutcome::kWait:
      break;
  }
  const int doublings = std::min(syn.resends, RoundTripEstimator::kMaxBackoff);
  syn.next_attempt = now + kSynRetryInterval * (1 << doublings);
  return true;
}

}  // namespace cowslip::segment
