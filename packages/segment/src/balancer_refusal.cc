// The part of Balancer that decides about SYNs that no member has accepted.
#include <algorithm>

#include "cowslip/segment/balancer.h"

namespace cowslip::segment {
namespace {

/// First interval at which a SYN is sent again while no member accepts it.
constexpr std::chrono::milliseconds kSynRetryInterval{40};

}  // namespace

std::uint8_t Balancer::PriorityOf(const Segment& segment) const {
  const auto* route = routes_->Find(segment.flow.service);
  return route == nullptr ? RequestClass::kUnknownPriority : route->priority;
}

bool Balancer::ForceChoice(PendingPacket& syn, TimePoint now) {
  InstanceAddress best = 0;
  std::uint16_t most = 0;
  members_.AnyMember(syn.frame.service, [&](InstanceAddress member) {
    const auto capacity = sidecar_states_.Capacity(member, now);
    if (capacity > most) {
      most = capacity;
      best = member;
    }
    return false;
  });
  if (most == 0) return false;
  sidecar_states_.ClaimSlot(best, now);
  ++stats_.forced;
  syn.was_forced = true;
  syn.next_hop = 0;
  syn.frame.hops[0] = best;
  syn.frame.hop_count = 1;
  syn.frame.forced = true;
  return true;
}

bool Balancer::OnSynNotAccepted(PendingPacket& syn, const Ack& ack,
                                TimePoint now, Outbox& out) {
  const auto& flow = syn.segment.flow;
  const auto* route = routes_->Find(flow.service);
  const bool has_capacity =
      members_.AnyMember(syn.frame.service, [&](InstanceAddress member) {
        return sidecar_states_.Capacity(member, now) > 0;
      });
  syn.awaiting_ack_from = 0;
  switch (syn_refusal_.Decide(syn, ack, route, has_capacity, now)) {
    case SynOutcome::kRefuse:
      ++stats_.overloaded;
      ++stats_.resets;
      ++stats_.refused[PriorityOf(syn.segment)].no_answer_in_time;
      LogDecision("refuse", "no_answer_in_time", flow);
      out.SendReset(flow, 0);
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
