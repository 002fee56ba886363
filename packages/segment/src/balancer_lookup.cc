// Lookups of the owner of a flow, after the first visit of its packet.
#include <algorithm>

#include "cowslip/segment/balancer.h"

namespace cowslip::segment {
namespace {

/// Delay of the second query about a flow without an owner. Membership updates
/// take a few milliseconds.
constexpr std::chrono::milliseconds kConfirmDelay{25};
/// Time after which a lookup ends. A query is answered or timed out after 0.1 s
/// and sent twice; its caller sends the packet again after 0.2 to 1.6 s.
constexpr std::chrono::milliseconds kLookupLifetime =
    OwnerLookup::kBatchLifetime;
/// Interval at which a lookup checks whether it may visit more members.
constexpr std::chrono::milliseconds kVisitCheckInterval{20};

}  // namespace

std::string_view Balancer::MembersUncertainty(const PendingPacket& pending,
                                              TimePoint now) const {
  const auto* route = routes_->Find(pending.segment.flow.service);
  if (route == nullptr) return "no_route";
  if (pending.config != routes_->version) return "routes_changed";
  if (pending.removals_before != members_.removals()) return "member_left";
  if (!KnowsMembers(now)) return "members_unknown";
  const bool knows_former = KnowsFormerServices(now);
  if (!knows_former && !pending.all_services_asked) return "route_history";
  if (!members_.IsStable(*route, knows_former, now)) return "member_joined";
  return {};
}

bool Balancer::MayQueryAllMembers(const Route& route, TimePoint now) {
  return members_.AllResponsive(route, KnowsFormerServices(now)) ||
         full_lookup_budget_.TryTake(now);
}

bool Balancer::MayContinueLookup(const PendingPacket& pending, TimePoint now) {
  // An undecided member leaves no more certainty than an unresponsive one.
  if (!pending.uncertainty.empty()) return full_lookup_budget_.TryTake(now);
  const auto* route = routes_->Find(pending.segment.flow.service);
  return route == nullptr || MayQueryAllMembers(*route, now);
}

std::size_t Balancer::CountMembers(const PendingPacket& pending,
                                   TimePoint now) const {
  const auto* route = routes_->Find(pending.segment.flow.service);
  const bool knows_former = KnowsFormerServices(now);
  std::size_t members = 0;
  members_.ForEachService([&](ServiceTag tag, const auto& upstreams) {
    const bool counts =
        !knows_former || (route != nullptr && route->LeadsTo(tag));
    if (counts) members += upstreams.size();
  });
  return members;
}

bool Balancer::ContinueLookup(PendingPacket& pending, TimePoint now,
                              Outbox& out) {
  pending.awaiting_ack_from = 0;
  if (pending.stage == LookupStage::kAtOwner) {
    // It has lost the flow meanwhile. The next packet starts a new lookup.
    pending.NoteUncertainty("owner_changed");
    ++stats_.uncertain_lookups;
    LogDecision("end_lookup", pending.uncertainty, pending.segment.flow);
    return false;
  }
  const auto members = CountMembers(pending, now);
  if (members > OwnerLookup::kMaxMembers) {
    pending.NoteUncertainty("too_many_members");
  }
  if (!MayContinueLookup(pending, now)) {
    ++stats_.shortened_lookups;
    LogDecision("shorten_lookup",
                pending.uncertainty.empty() ? "member_unresponsive"
                                            : pending.uncertainty,
                pending.segment.flow);
    return false;
  }
  if (pending.stage == LookupStage::kVisiting) {
    return VisitUndecided(pending, now, out);
  }
  const bool all_visited =
      !pending.first_visit_incomplete && members <= pending.candidates_covered;
  if (all_visited) {
    pending.all_services_asked = !KnowsFormerServices(now);
    return EndRound(pending, now, out);
  }
  AskMembers(pending, now);
  return true;
}

void Balancer::AskMembers(PendingPacket& pending, TimePoint due) {
  OwnerQuestion question;
  question.flow = pending.segment.flow;
  question.caller_ack = pending.segment.ack;
  question.lookup = pending.lookup;
  question.confirmation = pending.not_found_once;
  question.due = due;
  if (!pending.not_found_once && !pending.first_visit_incomplete) {
    question.answered = pending.frame.hops;
    question.answered_count = pending.frame.hop_count;
  }
  pending.stage = LookupStage::kQuerying;
  // Only ends the lookup, which goes on with the answer.
  pending.next_attempt = pending.arrival + kLookupLifetime;
  lookups_.Ask(question);
}

void Balancer::OnDatagram(InstanceAddress sidecar, ByteView datagram,
                          TimePoint now, Outbox& out) {
  const auto kind = KindOf(datagram);
  if (kind == FrameKind::kReceipt) {
    if (const auto ack = DecodeAck(datagram)) OnAck(sidecar, *ack, now, out);
  } else if (kind == FrameKind::kOwnerReply) {
    const auto reply = DecodeOwnerReply(datagram);
    if (reply) OnOwnerReply(sidecar, *reply, now, out);
  }
}

void Balancer::OnOwnerReply(InstanceAddress sidecar, const OwnerReply& reply,
                            TimePoint now, Outbox& out) {
  OnSidecarState(sidecar, reply.state, now);
  lookups_.OnReply(sidecar, reply, now, out, owner_answers_);
  for (auto& answer : owner_answers_) {
    OnOwnerAnswer(std::move(answer), now, out);
  }
  owner_answers_.clear();
  if (lookups_.IsDue(now)) AdvanceLookups(now, out);
}

void Balancer::AdvanceLookups(TimePoint now, Outbox& out) {
  if (!lookups_.active()) return;
  lookups_.Advance(
      {*routes_, members_, sidecar_states_, pending_, KnowsFormerServices(now)},
      now, out, owner_answers_);
  for (auto& answer : owner_answers_) {
    OnOwnerAnswer(std::move(answer), now, out);
  }
  owner_answers_.clear();
}

void Balancer::OnOwnerAnswer(OwnerAnswer&& answer, TimePoint now, Outbox& out) {
  const auto found = pending_.find(answer.flow);
  if (found == pending_.end() || found->second.lookup != answer.lookup ||
      found->second.stage != LookupStage::kQuerying) {
    return;
  }
  auto& pending = found->second;
  pending.resends = 0;
  if (answer.owner != 0) {
    pending.stage = LookupStage::kAtOwner;
    pending.frame.hops[0] = answer.owner;
    pending.frame.hop_count = 1;
    pending.frame.other_service = false;
    pending.next_hop = 0;
    SendToCandidates(pending, now, out);
    return;
  }
  if (!answer.uncertainty.empty()) pending.NoteUncertainty(answer.uncertainty);
  if (answer.config != pending.config) {
    pending.NoteUncertainty("routes_changed");
  }
  pending.all_services_asked = answer.all_services;
  pending.stage = LookupStage::kVisiting;
  pending.to_visit = std::move(answer.undecided);
  pending.to_visit_elsewhere = std::move(answer.undecided_elsewhere);
  pending.visited = 0;
  const bool has_visits =
      !pending.to_visit.empty() || !pending.to_visit_elsewhere.empty();
  const bool tracked = has_visits ? ContinueLookup(pending, now, out)
                                  : EndRound(pending, now, out);
  if (!tracked) pending_.erase(found);
}

void Balancer::ListMembersToVisit(PendingPacket& pending) const {
  auto& frame = pending.frame;
  frame.hop_count = 0;
  frame.inconclusive = false;
  const auto first_elsewhere = pending.to_visit.size();
  const auto count = first_elsewhere + pending.to_visit_elsewhere.size();
  while (pending.visited < count && frame.hop_count < kMaxHops) {
    const bool elsewhere = pending.visited >= first_elsewhere;
    // One frame is either for services of the route or for others.
    if (frame.hop_count > 0 && elsewhere != frame.other_service) return;
    const auto member =
        elsewhere
            ? pending.to_visit_elsewhere[pending.visited - first_elsewhere]
            : pending.to_visit[pending.visited];
    ++pending.visited;
    if (sidecar_states_.IsUnresponsive(member)) {
      pending.NoteUncertainty("member_unresponsive");
      continue;
    }
    frame.other_service = elsewhere;
    frame.hops[frame.hop_count++] = member;
  }
}

bool Balancer::VisitUndecided(PendingPacket& pending, TimePoint now,
                              Outbox& out) {
  const auto count =
      pending.to_visit.size() + pending.to_visit_elsewhere.size();
  if (pending.visited >= count) return EndRound(pending, now, out);
  if (!visit_budget_.TryTake(now)) {
    pending.next_attempt = now + kVisitCheckInterval;
    pending.frame.hop_count = 0;
    return true;
  }
  ListMembersToVisit(pending);
  pending.next_hop = 0;
  if (pending.frame.hop_count == 0) return EndRound(pending, now, out);
  SendToCandidates(pending, now, out);
  return true;
}

bool Balancer::EndRound(PendingPacket& pending, TimePoint now, Outbox& out) {
  if (pending.uncertainty.empty()) {
    pending.uncertainty = MembersUncertainty(pending, now);
  }
  if (!pending.uncertainty.empty()) {
    ++stats_.uncertain_lookups;
    LogDecision("end_lookup", pending.uncertainty, pending.segment.flow);
    return false;
  }
  if (!pending.not_found_once) {
    pending.not_found_once = true;
    AskMembers(pending, now + kConfirmDelay);
    return true;
  }
  pending.lost = true;
  pending.next_attempt = now + kFreeSlotCheckInterval;
  return !ResetLostFlow(pending, now, out);
}

void Balancer::RequestReports(TimePoint now, Outbox& out) {
  for (const auto service : services_without_slot_) {
    members_.AnyMember(service, [&](InstanceAddress member) {
      sidecar_states_.ConsiderReportRequest(member, now);
      return false;
    });
  }
  services_without_slot_.clear();
  for (const auto member : sidecar_states_.TakeReportRequests(now)) {
    out.SendProbe(member);
  }
}

/// Continues a lookup after a sidecar that did not respond.
bool Balancer::RetryLookup(PendingPacket& pending, TimePoint now, Outbox& out) {
  if (now - pending.arrival >= kLookupLifetime) {
    ++stats_.given_up;
    LogDecision("give_up", "lookup_too_long", pending.segment.flow);
    return false;
  }
  if (pending.stage == LookupStage::kVisiting && pending.frame.hop_count == 0) {
    return VisitUndecided(pending, now, out);
  }
  if (!MayResend(pending, now)) return true;
  if (pending.stage == LookupStage::kFirstVisit) {
    // The query asks those again that did not acknowledge the packet.
    pending.first_visit_incomplete = true;
  } else if (pending.stage == LookupStage::kAtOwner) {
    pending.next_hop = 0;
  } else {
    pending.NoteUncertainty("no_receipt");
  }
  if (pending.next_hop < pending.frame.hop_count) {
    SendToCandidates(pending, now, out);
    return true;
  }
  return ContinueLookup(pending, now, out);
}

}  // namespace cowslip::segment
