#include "cowslip/segment/balancer.h"

#include <algorithm>
#include <stdexcept>

#include "request_class.h"
#include "syn_copy.h"

namespace cowslip::segment {
namespace {

/// Interval at which a packet that the retry budget holds back is checked.
constexpr std::chrono::milliseconds kDeferralInterval{40};
/// Time after the start in which members of a service may still be unknown: the
/// store responds within milliseconds, or later if it is down at first.
constexpr std::chrono::milliseconds kStartupWindow{2500};
/// Time that all members have to be unresponsive before a balancer counts as
/// isolated. A sidecar process is back 0.6 s after a planned stop; all of them
/// are unresponsive at the same time only after a mass restart or a partition.
constexpr std::chrono::milliseconds kIsolationDelay{300};
/// Limit of tracked packets. A few hundred flows move to another balancer when
/// one joins.
constexpr std::size_t kMaxPending = 1024;
/// Pending packets from which on lookups visit only kShortVisit members before
/// the query: as many as a new connection is offered to first. The
/// acknowledgements of 12 visits for each of 1,000 lost flows take a link of
/// 10 Mbit/s 0.46 s.
constexpr std::size_t kManyPending = 64;
constexpr std::uint8_t kShortVisit = CandidateSelector::kPlacementCandidates;
/// Time until a lost flow is dropped. If its caller sends again, there is a new
/// lookup.
constexpr std::chrono::milliseconds kLostFlowLifetime{1500};

/// @return the time since the machine's start in nanoseconds: higher than the
/// numbers of an earlier process, which sent fewer queries than nanoseconds
/// have passed.
std::uint64_t FirstQueryNumber(TimePoint started) {
  return static_cast<std::uint64_t>(
      std::chrono::nanoseconds(started.time_since_epoch()).count());
}

flow::HintCache MakeHints() {
  LastReason<flow::FlowError> reason;
  auto hints = flow::HintCache::Create(Balancer::kHintCapacity, reason);
  if (!hints) throw std::logic_error(reason.Message());
  return std::move(*hints);
}

}  // namespace

Balancer::Balancer(InstanceAddress self, Observer& observer, TimePoint started,
                   std::uint64_t data_center)
    : self_(self),
      observer_(&observer),
      started_(started),
      routes_(std::make_shared<RouteTable>()),
      route_history_(started),
      members_(sidecar_states_, data_center, &outliers_),
      hints_(MakeHints()),
      lookups_(FirstQueryNumber(started), observer, round_trips_, stats_) {}

void Balancer::SetRoutes(std::shared_ptr<const RouteTable> routes,
                         bool follows_previous, TimePoint now) {
  routes_ = std::move(routes);
  route_history_.OnApplied(routes_->version, follows_previous, now);
}

/// Detects a balancer behind a partition that the routers reach and the
/// sidecars don't. Once it is out of the rotation, other balancers serve its
/// callers.
bool Balancer::IsIsolated(TimePoint now) const {
  return isolated_since_ && now - *isolated_since_ >= kIsolationDelay;
}

void Balancer::OnPacket(const Segment& segment, ByteView packet, TimePoint now,
                        Outbox& out) {
  ++stats_.packets;
  if (segment.is_syn()) {
    ++stats_.openings;
    HandleSyn(segment, packet, now, out);
    return;
  }
  if (routes_->version == 0) {
    ++stats_.no_configuration;
    return;
  }
  const auto* route = routes_->Find(segment.flow.service);
  if (route == nullptr) {
    ++stats_.no_route;
    return;
  }
  HandleExistingFlow(segment, packet, *route, now, out);
}

void Balancer::HandleSyn(const Segment& segment, ByteView packet, TimePoint now,
                         Outbox& out) {
  PendingPacket pending;
  pending.segment = segment;
  // The ack field of a SYN holds the number of its copy. Each copy starts one
  // candidate later, past a sidecar that did not respond.
  pending.next_hop = static_cast<std::uint8_t>(segment.ack % kMaxHops);
  pending.packet.assign(packet.begin(), packet.end());
  if (!BuildCandidates(pending, now)) {
    if (MayLackMembers(segment, now)) {
      QueueSyn(std::move(pending), now);
    } else {
      RefuseWithoutMember(segment, out);
    }
    return;
  }
  if (syn_refusal_.PrefersForced(segment, now)) ForceChoice(pending, now);
  SendAndTrack(std::move(pending), now, out);
}

bool Balancer::MayLackMembers(const Segment& segment, TimePoint now) const {
  if (now - started_ >= kStartupWindow) return false;
  // A configuration without the route is final.
  return routes_->version == 0 ||
         routes_->Find(segment.flow.service) != nullptr;
}

void Balancer::QueueSyn(PendingPacket&& pending, TimePoint now) {
  if (pending_.size() >= kMaxPending) {
    ++stats_.unwatched;
    return;
  }
  pending.arrival = now;
  pending.awaiting_ack_from = 0;
  pending.next_attempt = now + kSynRetryInterval;
  pending_[pending.segment.flow] = std::move(pending);
}

void Balancer::SendAndTrack(PendingPacket&& pending, TimePoint now,
                            Outbox& out) {
  pending.arrival = now;
  if (pending_.size() >= kMaxPending) {
    ++stats_.unwatched;
    SendToCandidates(pending, now, out);
    return;
  }
  auto& tracked = pending_[pending.segment.flow];
  tracked = std::move(pending);
  SendToCandidates(tracked, now, out);
}

bool Balancer::BuildCandidates(PendingPacket& pending, TimePoint now) {
  const auto& segment = pending.segment;
  auto& frame = pending.frame;
  frame.hop_count = 0;
  const auto hash = HashFlow(segment.flow);
  const auto* route = routes_->Find(segment.flow.service);
  if (route == nullptr) return false;
  frame.service = route->ChooseService(hash);
  if (segment.is_syn()) {
    frame.forced = false;
    pending.offered_to_outliers = false;
    const bool is_trial =
        members_.ListForNewFlow(hash, route->latency_target, now, frame);
    stats_.outlier_trials += is_trial ? 1 : 0;
  } else {
    frame.inconclusive = false;
    frame.other_service = false;
    pending.lookup = next_lookup_++;
    pending.config = routes_->version;
    pending.removals_before = members_.removals();
    pending.candidates_covered = members_.ListForExistingFlow(
        *route, hash, /*skip=*/0, KnowsFormerServices(now), frame);
    // A packet beyond the limit is not tracked, so no query follows its visit.
    const bool short_visit =
        pending_.size() >= kManyPending && pending_.size() < kMaxPending;
    if (short_visit && frame.hop_count > kShortVisit) {
      frame.hop_count = kShortVisit;
      pending.candidates_covered = kShortVisit;
    }
    if (frame.inconclusive) pending.NoteUncertainty("member_unresponsive");
  }
  pending.next_hop = segment.is_syn() ? pending.next_hop : 0;
  return frame.hop_count > 0;
}

void Balancer::SendToCandidates(PendingPacket& pending, TimePoint now,
                                Outbox& out) {
  auto frame = pending.frame;
  auto* const begin = frame.hops.begin();
  auto* const end = begin + frame.hop_count;
  if (pending.segment.is_syn()) {
    std::rotate(begin, begin + pending.next_hop % frame.hop_count, end);
  } else {
    // Drops the candidates that were queried already.
    std::copy(begin + pending.next_hop, end, begin);
    frame.hop_count -= pending.next_hop;
  }
  frame.config = routes_->version;
  frame.balancer = self_;
  frame.searched = true;
  if (const auto* route = routes_->Find(pending.segment.flow.service)) {
    ClassifyRequest(*route, pending, members_.AllReadRequestClass(), now,
                    frame);
  }
  AddWarmUpLimit(pending.segment, frame);
  const auto first_hop = frame.hops[0];
  if (!pending.sent) {
    pending.timed_sidecar = first_hop;
    pending.timed_since = now;
    retry_budget_.OnFirstTransmission();
  } else if (pending.timed_sidecar == first_hop) {
    pending.timed_sidecar = 0;
  }
  if (pending.segment.is_syn()) sidecar_states_.Reserve(first_hop, now);
  pending.sent = true;
  pending.awaiting_ack_from = first_hop;
  pending.timeout_noted = false;
  pending.next_attempt = now + round_trips_.Timeout(pending.resends);
  ++pending.next_hop;
  out.SendFrame(first_hop, frame, pending.packet);
}

void Balancer::HandleExistingFlow(const Segment& segment, ByteView packet,
                                  const Route& route, TimePoint now,
                                  Outbox& out) {
  const auto lookup = pending_.find(segment.flow);
  const bool lookup_active =
      lookup != pending_.end() && !lookup->second.segment.is_syn();
  if (lookup_active &&
      (lookup->second.lost || lookup->second.stage == LookupStage::kQuerying)) {
    return;  // The caller sends it again, as the owner is not known yet.
  }
  const auto hash = HashFlow(segment.flow);
  const auto hint = hints_.Find(segment.flow, hash, now);
  if (!hint && !lookup_active) {
    PendingPacket pending;
    pending.segment = segment;
    if (!BuildCandidates(pending, now)) {
      ++stats_.no_member;
      return;
    }
    pending.packet.assign(packet.begin(), packet.end());
    SendAndTrack(std::move(pending), now, out);
    return;
  }
  SegmentFrame frame;
  frame.service = route.ChooseService(hash);
  if (hint) frame.hops[frame.hop_count++] = Raw(*hint);
  if (lookup_active && lookup->second.stage != LookupStage::kFirstVisit) {
    frame = lookup->second.frame;
    frame.searched = false;
  } else {
    members_.ListForExistingFlow(route, hash, /*skip=*/0,
                                 KnowsFormerServices(now), frame);
  }
  if (frame.hop_count == 0) return;
  frame.config = routes_->version;
  frame.balancer = self_;
  AddWarmUpLimit(segment, frame);
  out.SendFrame(frame.hops[0], frame, packet);
}

void Balancer::OnAck(InstanceAddress sidecar, const Ack& ack, TimePoint now,
                     Outbox& out) {
  OnSidecarState(sidecar, ack, now);
  MeasureRoundTrip(sidecar, ack, now);
  switch (ack.verdict) {
    case AckStatus::kProbeReply:
      return;
    case AckStatus::kForwarded:
      OnForwarded(sidecar, ack, now);
      return;
    case AckStatus::kAccepted: {
      hints_.Insert(ack.flow, HashFlow(ack.flow), UpstreamId{sidecar}, now);
      const auto found = pending_.find(ack.flow);
      if (found == pending_.end()) return;
      if (ack.syn) {
        stats_.placements.Count(
            members_.LocalityOf(found->second.frame.service, sidecar));
      }
      stats_.placement_time.Record(now - found->second.arrival);
      pending_.erase(found);
      return;
    }
    case AckStatus::kNotFound:
    case AckStatus::kInconclusive: {
      const auto found = pending_.find(ack.flow);
      // A retransmitted packet may have been sent to an earlier part of the
      // candidate list. Its ack has no information on the candidates that are
      // being queried.
      const bool outdated_ack = !ack.syn && found != pending_.end() &&
                                !found->second.frame.HasHop(sidecar);
      if (!outdated_ack) OnNotFound(ack, now, out);
      return;
    }
  }
}

void Balancer::OnSidecarState(InstanceAddress sidecar, const Ack& state,
                              TimePoint now) {
  if (sidecar_states_.IsUnresponsive(sidecar)) {
    LogDecision("member_answers", "receipt", state.flow, sidecar);
  }
  sidecar_states_.OnAck(sidecar, state, now);
  if (state.responses) {
    outliers_.OnReport(outlier::MemberId{sidecar}, state.flow.service,
                       *state.responses, now);
  }
  route_history_.OnVersionSeen(state.config);
}

void Balancer::MeasureRoundTrip(InstanceAddress sidecar, const Ack& ack,
                                TimePoint now) {
  const auto found = pending_.find(ack.flow);
  if (found == pending_.end()) return;
  auto& pending = found->second;
  // An acknowledgement of another copy of the packet says nothing about this
  // one.
  if (pending.timed_sidecar != sidecar ||
      pending.segment.ack != ack.caller_ack) {
    return;
  }
  round_trips_.OnSample(now - pending.timed_since);
  pending.timed_sidecar = 0;
}

void Balancer::OnForwarded(InstanceAddress sidecar, const Ack& ack,
                           TimePoint now) {
  const auto found = pending_.find(ack.flow);
  if (found == pending_.end()) {
    // The hint was wrong, so the next packet starts a lookup.
    if (!ack.syn) hints_.Erase(ack.flow, HashFlow(ack.flow));
    return;
  }
  auto& pending = found->second;
  if (pending.awaiting_ack_from != sidecar) return;
  if (ack.syn) sidecar_states_.Reserve(ack.next, now);
  pending.awaiting_ack_from = ack.next;
  pending.timeout_noted = false;
  pending.next_attempt = now + round_trips_.Timeout(pending.resends);
  // A resend starts after the sidecar that has the packet now.
  const auto& frame = pending.frame;
  const auto* end = frame.hops.begin() + frame.hop_count;
  const auto* hop = std::find(frame.hops.begin(), end, ack.next);
  if (hop == end) return;
  pending.next_hop = static_cast<std::uint8_t>(hop - frame.hops.begin() + 1);
}

void Balancer::OnNotFound(const Ack& ack, TimePoint now, Outbox& out) {
  const auto found = pending_.find(ack.flow);
  if (ack.syn) {
    if (found == pending_.end()) return;
    if (!OnSynNotAccepted(found->second, ack, now, out)) pending_.erase(found);
    return;
  }
  ++stats_.unheld;
  hints_.Erase(ack.flow, HashFlow(ack.flow));
  if (found == pending_.end() || found->second.lost) return;
  auto& pending = found->second;
  // An acknowledgement of an earlier visit.
  if (pending.stage == LookupStage::kQuerying) return;
  if (ack.verdict == AckStatus::kInconclusive) {
    pending.NoteUncertainty("member_undecided");
  }
  pending.resends = 0;
  if (!ContinueLookup(pending, now, out)) pending_.erase(found);
  if (lookups_.IsDue(now)) AdvanceLookups(now, out);
}

bool Balancer::ResetLostFlow(const PendingPacket& pending, TimePoint now,
                             Outbox& out) {
  const auto& segment = pending.segment;
  const bool has_free_slot =
      members_.AnyMember(pending.frame.service, [&](InstanceAddress member) {
        return sidecar_states_.ClaimSlot(member, now);
      });
  if (!has_free_slot) return false;
  ++stats_.resets;
  LogDecision("reset", "flow_unheld_by_all_members", segment.flow);
  out.SendReset(segment.flow, segment.ack);
  return true;
}

void Balancer::NoteTimeout(PendingPacket& pending, TimePoint now) {
  if (pending.awaiting_ack_from == 0 || pending.timeout_noted) return;
  pending.timeout_noted = true;
  sidecar_states_.OnTimeout(pending.awaiting_ack_from, now);
  if (!pending.resend_logged) {
    LogDecision("resend", "no_receipt", pending.segment.flow,
                pending.awaiting_ack_from, pending.next_hop);
  }
  pending.resend_logged = true;
}

bool Balancer::MayResend(PendingPacket& pending, TimePoint now) {
  if (!pending.sent) return true;
  if (!retry_budget_.TryTake(now)) {
    ++stats_.deferred;
    pending.next_attempt = now + kDeferralInterval;
    return false;
  }
  ++stats_.resent;
  ++pending.resends;
  pending.unacknowledged |= pending.awaiting_ack_from != 0;
  return true;
}

/// Sends a SYN that was not accepted to the next sidecar, or to all of them in
/// an order that depends on their load.
bool Balancer::RetrySyn(PendingPacket& pending, TimePoint now, Outbox& out) {
  if (now - pending.arrival > SynLifetime(pending.segment.ack)) {
    ++stats_.given_up;
    LogDecision("give_up", "no_member_took_it", pending.segment.flow);
    return false;
  }
  if (BuildCandidates(pending, now)) {
    if (MayResend(pending, now)) SendToCandidates(pending, now, out);
    return true;
  }
  if (!MayLackMembers(pending.segment, now)) {
    RefuseWithoutMember(pending.segment, out);
    return false;
  }
  pending.next_attempt = now + kSynRetryInterval;
  return true;
}

void Balancer::OnTick(TimePoint now, Outbox& out) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    auto& pending = entry->second;
    if (now < pending.next_attempt) {
      ++entry;
      continue;
    }
    NoteTimeout(pending, now);
    if (pending.lost) {
      const bool expired = now - pending.arrival > kLostFlowLifetime;
      pending.next_attempt = now + kFreeSlotCheckInterval;
      if (ResetLostFlow(pending, now, out) || expired) {
        entry = pending_.erase(entry);
      } else {
        services_without_slot_.insert(pending.frame.service);
        ++entry;
      }
      continue;
    }
    const bool tracked = pending.segment.is_syn()
                             ? RetrySyn(pending, now, out)
                             : RetryLookup(pending, now, out);
    entry = tracked ? std::next(entry) : pending_.erase(entry);
  }
  RequestReports(now, out);
  UpdateOutliers(now, out);
  AdvanceLookups(now, out);
  for (const auto sidecar : sidecar_states_.TakeDueProbes(now)) {
    out.SendProbe(sidecar);
  }
  if (!HasMembers() || members_.HasResponsiveMember()) {
    isolated_since_.reset();
  } else if (!isolated_since_) {
    isolated_since_ = now;
  }
}

void Balancer::OnResume(TimePoint now) {
  route_history_.OnInterrupted(now);
  membership_.OnInterrupted(now);
  stats_.outdated += pending_.size();
  pending_.clear();
  lookups_.Clear();
  isolated_since_.reset();
}

void Balancer::OnBacklogPacket(const Segment& segment, ByteView packet,
                               TimePoint now, Outbox& out) {
  if (segment.is_syn()) {
    ++stats_.outdated;
    return;
  }
  OnPacket(segment, packet, now, out);
}

void Balancer::LogDecision(std::string_view action, std::string_view reason,
                           const FlowKey& flow, InstanceAddress instance,
                           std::uint32_t place, std::uint32_t wait_us) {
  observer_->OnDecision(
      {action, reason, flow, instance, routes_->version, place, wait_us});
}

}  // namespace cowslip::segment
