#include "cowslip/segment/balancer.h"

#include <algorithm>
#include <stdexcept>

namespace cowslip::segment {
namespace {

/// Answers take 2 to 3 ms between data centres; a sidecar that used up its
/// share of the processor answers after up to 100 ms, and then two get it.
constexpr std::chrono::milliseconds kReceiptTimeout{40};
/// Interval at which an opening is offered again while no member takes any.
constexpr std::chrono::milliseconds kOfferInterval{40};
/// Time from the start in which the members of a service may still be unknown:
/// the store answers in milliseconds, or once it has come back.
constexpr std::chrono::milliseconds kLearningTime{2500};
/// A flow that nobody holds is searched for once more after this time: news of
/// a member take a few milliseconds.
constexpr std::chrono::milliseconds kConfirmAfter{25};
/// Callers give an attempt up 1.4 s after its first packet.
constexpr std::chrono::milliseconds kOpeningLifetime{1200};
/// A search visits 12 members in some 20 ms; with 60 members and one that is
/// silent it ends within this time.
constexpr std::chrono::milliseconds kSearchLifetime{600};
/// A sidecar's process is back 0.6 s after a planned stop; all of them are
/// silent at the same moment only after a mass restart or a partition.
constexpr std::chrono::milliseconds kIsolatedAfter{300};
/// Packets watched at the same time; a few hundred flows change their balancer
/// when one joins.
constexpr std::size_t kMaxPending = 1024;
/// Interval at which lost flows are looked at again while all slots are taken.
constexpr std::chrono::milliseconds kRoomInterval{20};
/// More members than any search visits.
constexpr std::size_t kAllSearched = SIZE_MAX / 2;
/// A lost flow is forgotten after this time; its caller repeats and it is
/// searched for again.
constexpr std::chrono::milliseconds kLostLifetime{1500};
/// News take a few milliseconds, or 100 ms through an instance that used up its
/// share of the processor.
constexpr std::chrono::milliseconds kNewsTime{200};

flow::HintCache MakeHints() {
  LastReason<flow::FlowError> reason;
  auto hints = flow::HintCache::Create(Balancer::kHintCapacity, reason);
  if (!hints) throw std::logic_error(reason.Message());
  return std::move(*hints);
}

}  // namespace

Balancer::Balancer(InstanceAddress self, Observer& observer, TimePoint started)
    : self_(self),
      observer_(&observer),
      started_(started),
      routes_(std::make_shared<RouteTable>()),
      members_(contacts_),
      hints_(MakeHints()) {}

/// @return whether it has run for longer than any open connection has.
bool Balancer::KnowsFormerServices(TimePoint now) const {
  return now - started_ >= kMaxFlowAge;
}

/// Answers the pattern of a balancer behind a partition, which the routers
/// reach and the sidecars don't: out of the rotation, its callers are served by
/// others.
bool Balancer::IsIsolated(TimePoint now) const {
  return isolated_since_ && now - *isolated_since_ >= kIsolatedAfter;
}

void Balancer::OnPacket(const Segment& segment, ByteView packet, TimePoint now,
                        Outbox& out) {
  ++stats_.packets;
  if (segment.is_syn()) {
    ++stats_.openings;
    OnOpening(segment, packet, now, out);
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
  OnContinuing(segment, packet, *route, now, out);
}

void Balancer::OnOpening(const Segment& segment, ByteView packet, TimePoint now,
                         Outbox& out) {
  PendingPacket pending;
  pending.segment = segment;
  // A copy starts one place later, past a sidecar that didn't answer.
  pending.next_hop = static_cast<std::uint8_t>(segment.ack % kMaxHops);
  pending.packet.assign(packet.begin(), packet.end());
  if (!BuildList(pending, now)) {
    if (StillLearning(segment, now)) {
      Wait(std::move(pending), now);
    } else {
      Refuse(segment, out);
    }
    return;
  }
  Search(std::move(pending), now, out);
}

bool Balancer::StillLearning(const Segment& segment, TimePoint now) const {
  if (now - started_ >= kLearningTime) return false;
  // A known configuration without the route is an answer.
  return routes_->version == 0 ||
         routes_->Find(segment.flow.service) != nullptr;
}

void Balancer::Refuse(const Segment& segment, Outbox& out) {
  const bool routed = routes_->Find(segment.flow.service) != nullptr;
  ++(routed ? stats_.no_member : stats_.no_route);
  ++stats_.resets;
  Report("refuse", routed ? "no_member" : "no_route", segment.flow);
  out.SendReset(segment.flow, 0);
}

void Balancer::Wait(PendingPacket&& pending, TimePoint now) {
  if (pending_.size() >= kMaxPending) {
    ++stats_.unwatched;
    return;
  }
  pending.since = now;
  pending.waiting_for = 0;
  pending.due = now + kOfferInterval;
  pending_[pending.segment.flow] = std::move(pending);
}

void Balancer::Search(PendingPacket&& pending, TimePoint now, Outbox& out) {
  pending.since = now;
  if (pending_.size() >= kMaxPending) {
    ++stats_.unwatched;
    Send(pending, now, out);
    return;
  }
  auto& kept = pending_[pending.segment.flow];
  kept = std::move(pending);
  Send(kept, now, out);
}

bool Balancer::BuildList(PendingPacket& pending, TimePoint now) {
  const auto& segment = pending.segment;
  auto& frame = pending.frame;
  frame.hop_count = 0;
  const auto hash = HashFlow(segment.flow);
  const auto* route = routes_->Find(segment.flow.service);
  if (route == nullptr) return false;
  frame.service = route->ChooseService(hash);
  if (segment.is_syn()) {
    members_.ListForOpening(hash, now, frame);
  } else {
    frame.inconclusive = false;
    frame.other_service = false;
    pending.covered = members_.ListForSearch(*route, hash, pending.searched,
                                             KnowsFormerServices(now), frame);
    pending.uncertain |= frame.inconclusive;
  }
  pending.next_hop = segment.is_syn() ? pending.next_hop : 0;
  return frame.hop_count > 0;
}

void Balancer::Send(PendingPacket& pending, TimePoint now, Outbox& out) {
  auto frame = pending.frame;
  auto* const begin = frame.hops.begin();
  auto* const end = begin + frame.hop_count;
  if (pending.segment.is_syn()) {
    std::rotate(begin, begin + pending.next_hop % frame.hop_count, end);
  } else {
    // Those ahead were asked already.
    std::copy(begin + pending.next_hop, end, begin);
    frame.hop_count -= pending.next_hop;
  }
  frame.config = routes_->version;
  frame.balancer = self_;
  frame.searched = true;
  pending.waiting_for = frame.hops[0];
  pending.due = now + kReceiptTimeout;
  ++pending.next_hop;
  out.SendFrame(frame.hops[0], frame, pending.packet);
}

void Balancer::OnContinuing(const Segment& segment, ByteView packet,
                            const Route& route, TimePoint now, Outbox& out) {
  const auto search = pending_.find(segment.flow);
  const bool searching =
      search != pending_.end() && !search->second.segment.is_syn();
  if (searching && search->second.lost) return;
  const auto hash = HashFlow(segment.flow);
  const auto hint = hints_.Find(segment.flow, hash, now);
  if (!hint && !searching) {
    PendingPacket pending;
    pending.segment = segment;
    if (!BuildList(pending, now)) {
      ++stats_.no_member;
      return;
    }
    pending.packet.assign(packet.begin(), packet.end());
    Search(std::move(pending), now, out);
    return;
  }
  SegmentFrame frame;
  frame.service = route.ChooseService(hash);
  if (hint) frame.hops[frame.hop_count++] = Raw(*hint);
  members_.ListForSearch(route, hash, searching ? search->second.searched : 0,
                         KnowsFormerServices(now), frame);
  if (frame.hop_count == 0) return;
  frame.config = routes_->version;
  frame.balancer = self_;
  out.SendFrame(frame.hops[0], frame, packet);
}

void Balancer::OnAck(InstanceAddress sidecar, const Ack& receipt, TimePoint now,
                     Outbox& out) {
  if (contacts_.IsSilent(sidecar)) {
    Report("member_answers", "receipt", receipt.flow, sidecar);
  }
  contacts_.OnAck(sidecar, receipt, now);
  switch (receipt.verdict) {
    case AckStatus::kProbeReply:
      return;
    case AckStatus::kForwarded:
      OnPassed(sidecar, receipt, now);
      return;
    case AckStatus::kAccepted: {
      hints_.Insert(receipt.flow, HashFlow(receipt.flow), UpstreamId{sidecar},
                    now);
      const auto found = pending_.find(receipt.flow);
      if (found == pending_.end()) return;
      stats_.placement_time.Record(now - found->second.since);
      pending_.erase(found);
      return;
    }
    case AckStatus::kNotFound:
    case AckStatus::kInconclusive: {
      const auto found = pending_.find(receipt.flow);
      // A repeated packet may have taken an earlier part of the list; what is
      // told of that says nothing about the part that is being asked.
      const bool stray = !receipt.syn && found != pending_.end() &&
                         !found->second.frame.Lists(sidecar);
      if (!stray) OnUnheld(receipt, now, out);
      return;
    }
  }
}

void Balancer::OnPassed(InstanceAddress sidecar, const Ack& receipt,
                        TimePoint now) {
  const auto found = pending_.find(receipt.flow);
  if (found == pending_.end()) {
    // The hint was wrong; the next packet is searched for.
    if (!receipt.syn) hints_.Erase(receipt.flow, HashFlow(receipt.flow));
    return;
  }
  auto& pending = found->second;
  if (pending.waiting_for != sidecar) return;
  pending.waiting_for = receipt.next;
  pending.due = now + kReceiptTimeout;
  // A repetition starts behind the sidecar that has it now.
  const auto& frame = pending.frame;
  const auto* end = frame.hops.begin() + frame.hop_count;
  const auto* place = std::find(frame.hops.begin(), end, receipt.next);
  if (place == end) return;
  pending.next_hop = static_cast<std::uint8_t>(place - frame.hops.begin() + 1);
}

/// @return whether no member of a route can be unknown here.
bool Balancer::KnowsAllMembers(const Route& route, TimePoint now) const {
  return complete_since_ && now - *complete_since_ >= kNewsTime &&
         members_.IsSettled(route, now);
}

void Balancer::OnUnheld(const Ack& receipt, TimePoint now, Outbox& out) {
  const auto found = pending_.find(receipt.flow);
  if (receipt.syn) {
    // All members passed it on; OnTick() offers it again.
    if (found == pending_.end()) return;
    found->second.waiting_for = 0;
    found->second.due = now + kOfferInterval;
    return;
  }
  ++stats_.unheld;
  hints_.Erase(receipt.flow, HashFlow(receipt.flow));
  if (found == pending_.end() || found->second.lost) return;
  auto& pending = found->second;
  if (receipt.verdict == AckStatus::kInconclusive) pending.uncertain = true;
  if (!SearchOn(pending, now, out)) pending_.erase(found);
}

bool Balancer::SearchOn(PendingPacket& pending, TimePoint now, Outbox& out) {
  pending.waiting_for = 0;
  pending.searched += pending.covered;
  if (BuildList(pending, now)) {
    Send(pending, now, out);
    return true;
  }
  const auto* route = routes_->Find(pending.segment.flow.service);
  const bool certain =
      !pending.uncertain && route != nullptr && KnowsAllMembers(*route, now);
  if (!certain) return false;
  if (!pending.unheld_once) {
    pending.unheld_once = true;
    pending.due = now + kConfirmAfter;
    return true;
  }
  pending.lost = true;
  pending.due = now + kRoomInterval;
  return !ResetLost(pending, now, out);
}

bool Balancer::ResetLost(const PendingPacket& pending, TimePoint now,
                         Outbox& out) {
  const auto& segment = pending.segment;
  const bool room = members_.AnyOf(
      pending.frame.service,
      [&](InstanceAddress member) { return contacts_.ClaimSlot(member, now); });
  if (!room) return false;
  ++stats_.resets;
  Report("reset", "flow_unheld_by_all_members", segment.flow);
  out.SendReset(segment.flow, segment.ack);
  return true;
}

/// Offers an opening that was not taken to the next sidecar, or to all in an
/// order that follows the load.
bool Balancer::OfferAgain(PendingPacket& pending, TimePoint now, Outbox& out) {
  if (now - pending.since > kOpeningLifetime) {
    ++stats_.given_up;
    Report("give_up", "no_member_took_it", pending.segment.flow);
    return false;
  }
  if (BuildList(pending, now)) {
    ++stats_.resent;
    Send(pending, now, out);
    return true;
  }
  if (!StillLearning(pending.segment, now)) {
    Refuse(pending.segment, out);
    return false;
  }
  pending.due = now + kOfferInterval;
  return true;
}

/// Goes on with a search behind a sidecar that didn't answer, or confirms one
/// that found nobody.
bool Balancer::AskAgain(PendingPacket& pending, TimePoint now, Outbox& out) {
  if (now - pending.since > kSearchLifetime) {
    ++stats_.given_up;
    return false;
  }
  ++stats_.resent;
  const bool confirm = pending.unheld_once && pending.waiting_for == 0;
  if (confirm) {
    // Whoever has become known since is likely to rank among the first.
    pending.searched = 0;
    if (!BuildList(pending, now)) return false;
    Send(pending, now, out);
    pending.searched = kAllSearched;
    return true;
  }
  pending.uncertain = true;
  if (pending.next_hop < pending.frame.hop_count) {
    Send(pending, now, out);
    return true;
  }
  return SearchOn(pending, now, out);
}

void Balancer::OnTick(TimePoint now, Outbox& out) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    auto& pending = entry->second;
    if (now < pending.due) {
      ++entry;
      continue;
    }
    const auto& flow = pending.segment.flow;
    if (pending.waiting_for != 0) {
      contacts_.OnMiss(pending.waiting_for, now);
      if (!pending.repeated) {
        Report("resend", "no_receipt", flow, pending.waiting_for,
               pending.next_hop);
      }
      pending.repeated = true;
    }
    if (pending.lost) {
      const bool over = now - pending.since > kLostLifetime;
      pending.due = now + kRoomInterval;
      if (ResetLost(pending, now, out) || over) {
        entry = pending_.erase(entry);
      } else {
        ++entry;
      }
      continue;
    }
    const bool kept = pending.segment.is_syn() ? OfferAgain(pending, now, out)
                                               : AskAgain(pending, now, out);
    entry = kept ? std::next(entry) : pending_.erase(entry);
  }
  for (const auto sidecar : contacts_.TakeDueProbes(now)) {
    out.SendProbe(sidecar);
  }
  if (!HasMembers() || members_.ReachesAny()) {
    isolated_since_.reset();
  } else if (!isolated_since_) {
    isolated_since_ = now;
  }
}

void Balancer::Report(std::string_view what, std::string_view reason,
                      const FlowKey& flow, InstanceAddress instance,
                      std::uint32_t place, std::uint32_t wait_us) {
  observer_->OnDecision(
      {what, reason, flow, instance, routes_->version, place, wait_us});
}

}  // namespace cowslip::segment
