#include "cowslip/segment/balancer.h"

#include <algorithm>
#include <stdexcept>

namespace cowslip::segment {
namespace {

/// Answers take 2 to 3 ms between data centres; a sidecar that used up its
/// share of the processor answers after up to 100 ms, and then two get it.
constexpr std::chrono::milliseconds kReceiptTimeout{40};
/// Interval at which an opening is offered again while no member takes any.
constexpr std::chrono::milliseconds kOfferInterval{100};
/// Callers give an attempt up 1.4 s after its first packet.
constexpr std::chrono::milliseconds kOpeningLifetime{1200};
/// Callers repeat a packet after 200 ms themselves.
constexpr std::chrono::milliseconds kSearchLifetime{180};
/// Packets watched at the same time; a few hundred flows change their balancer
/// when one joins.
constexpr std::size_t kMaxPending = 1024;
/// News of a member reaches all balancers well within this time.
constexpr std::chrono::seconds kSettledAfter{2};

Upstream ToUpstream(const Member& member, ServiceTag) {
  Upstream upstream;
  upstream.id = UpstreamId{member.sidecar};
  upstream.state =
      member.open ? UpstreamState::kActive : UpstreamState::kDraining;
  return upstream;
}

flow::HintCache MakeHints() {
  LastReason<flow::FlowError> reason;
  auto hints = flow::HintCache::Create(Balancer::kHintCapacity, reason);
  if (!hints) throw std::logic_error(reason.Message());
  return std::move(*hints);
}

bool Contains(const SegmentFrame& frame, InstanceAddress hop) {
  const auto* end = frame.hops.begin() + frame.hop_count;
  return std::find(frame.hops.begin(), end, hop) != end;
}

void Append(SegmentFrame& frame, InstanceAddress hop) {
  if (frame.hop_count < kMaxHops && !Contains(frame, hop)) {
    frame.hops[frame.hop_count++] = hop;
  }
}

/// Silent sidecars lose a frame, so they come last.
void MoveSilentBack(const ContactBook& contacts, SegmentFrame& frame) {
  std::stable_partition(
      frame.hops.begin(), frame.hops.begin() + frame.hop_count,
      [&](InstanceAddress hop) { return !contacts.IsSilent(hop); });
}

}  // namespace

Balancer::Balancer(InstanceAddress self, Observer& observer)
    : self_(self),
      observer_(&observer),
      routes_(std::make_shared<RouteTable>()),
      hints_(MakeHints()) {}

void Balancer::SetRoutes(std::shared_ptr<const RouteTable> routes,
                         TimePoint now) {
  routes_ = std::move(routes);
  for (auto& [tag, service] : services_) service.changed = now;
}

void Balancer::SetMembers(ServiceTag tag, const std::vector<Member>& members,
                          TimePoint now) {
  auto& service = services_[tag];
  service.ranked.clear();
  for (const auto& member : members) {
    service.ranked.push_back(ToUpstream(member, tag));
  }
  service.changed = now;
}

bool Balancer::CanServe() const {
  if (routes_->version == 0) return false;
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return !entry.second.ranked.empty();
  });
}

void Balancer::OnPacket(const Segment& segment, ByteView packet, TimePoint now,
                        Outbox& out) {
  ++stats_.packets;
  if (segment.opens()) ++stats_.openings;
  if (routes_->version == 0) {
    ++stats_.no_configuration;
    return;
  }
  const auto* route = routes_->Find(segment.flow.service);
  if (route == nullptr) {
    ++stats_.no_route;
    if (segment.opens()) {
      ++stats_.resets;
      Report("refuse", "no_route", segment.flow);
      out.Reset(segment.flow, 0);
    }
    return;
  }
  if (segment.opens()) {
    OnOpening(segment, packet, *route, now, out);
  } else {
    OnContinuing(segment, packet, *route, now, out);
  }
}

void Balancer::OnOpening(const Segment& segment, ByteView packet,
                         const Route& route, TimePoint now, Outbox& out) {
  PendingPacket pending;
  pending.segment = segment;
  pending.frame.service = route.Choose(HashFlow(segment.flow));
  // A copy starts one place later, past a sidecar that didn't answer.
  pending.next_hop = static_cast<std::uint8_t>(segment.ack % kMaxHops);
  if (!BuildList(pending, now)) {
    ++stats_.no_member;
    ++stats_.resets;
    Report("refuse", "no_member", segment.flow);
    out.Reset(segment.flow, 0);
    return;
  }
  pending.packet.assign(packet.begin(), packet.end());
  Search(std::move(pending), now, out);
}

void Balancer::Search(PendingPacket&& pending, TimePoint now, Outbox& out) {
  pending.since = now;
  pending.frame.searched = true;
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
  if (segment.opens()) {
    const auto service = services_.find(frame.service);
    if (service == services_.end()) return false;
    BuildOpeningList(service->second, hash, now, frame);
  } else {
    const auto* route = routes_->Find(segment.flow.service);
    if (route == nullptr) return false;
    BuildSearchList(*route, hash, frame);
  }
  return frame.hop_count > 0;
}

/// Orders the first-ranked sidecars by the wait that they last told.
void Balancer::BuildOpeningList(const Service& service, std::uint64_t hash,
                                TimePoint now, SegmentFrame& frame) {
  ranking_.Build(service.ranked, hash);
  struct Choice {
    InstanceAddress sidecar;
    std::uint32_t wait_us;
  };
  std::array<Choice, kPlacementChoices> choices;
  std::size_t count = 0;
  for (const auto* upstream : ranking_.order()) {
    const auto sidecar = Raw(upstream->id);
    const bool listed_open = upstream->state == UpstreamState::kActive;
    if (!contacts_.IsOpen(sidecar, listed_open)) continue;
    if (contacts_.IsSilent(sidecar)) continue;
    choices[count++] = {sidecar, contacts_.ExpectedWaitUs(sidecar, now)};
    if (count == choices.size()) break;
  }
  std::stable_sort(
      choices.begin(), choices.begin() + count,
      [](const auto& a, const auto& b) { return a.wait_us < b.wait_us; });
  for (std::size_t i = 0; i < count; ++i) Append(frame, choices[i].sidecar);
  // Those that seem closed or silent may have recovered: they come last.
  for (const auto* upstream : ranking_.order()) {
    Append(frame, Raw(upstream->id));
  }
}

void Balancer::BuildSearchList(const Route& route, std::uint64_t hash,
                               SegmentFrame& frame) {
  AppendRanked(route.Choose(hash), hash, frame);
  for (const auto& target : route.targets) {
    AppendRanked(target.service, hash, frame);
  }
  for (const auto& former : route.former) AppendRanked(former, hash, frame);
  MoveSilentBack(contacts_, frame);
}

void Balancer::Send(PendingPacket& pending, TimePoint now, Outbox& out) {
  auto frame = pending.frame;
  const auto start = pending.next_hop % frame.hop_count;
  std::rotate(frame.hops.begin(), frame.hops.begin() + start,
              frame.hops.begin() + frame.hop_count);
  frame.config = routes_->version;
  frame.balancer = self_;
  pending.waiting_for = frame.hops[0];
  pending.due = now + kReceiptTimeout;
  ++pending.next_hop;
  out.SendFrame(frame.hops[0], frame, pending.packet);
}

void Balancer::AppendRanked(ServiceTag tag, std::uint64_t hash,
                            SegmentFrame& frame) {
  const auto service = services_.find(tag);
  if (service == services_.end()) return;
  ranking_.Build(service->second.ranked, hash);
  for (const auto* upstream : ranking_.order()) {
    Append(frame, Raw(upstream->id));
  }
}

void Balancer::OnContinuing(const Segment& segment, ByteView packet,
                            const Route& route, TimePoint now, Outbox& out) {
  const auto hash = HashFlow(segment.flow);
  PendingPacket pending;
  pending.segment = segment;
  auto& frame = pending.frame;
  frame.service = route.Choose(hash);
  const auto hint = hints_.Find(segment.flow, hash, now);
  if (!hint) {
    BuildSearchList(route, hash, frame);
    if (frame.hop_count == 0) {
      ++stats_.no_member;
      return;
    }
    pending.packet.assign(packet.begin(), packet.end());
    Search(std::move(pending), now, out);
    return;
  }
  Append(frame, Raw(*hint));
  BuildSearchList(route, hash, frame);
  frame.config = routes_->version;
  frame.balancer = self_;
  out.SendFrame(Raw(*hint), frame, packet);
}

void Balancer::OnReceipt(InstanceAddress sidecar, const Receipt& receipt,
                         TimePoint now, Outbox& out) {
  if (contacts_.IsSilent(sidecar)) {
    Report("member_answers", "receipt", receipt.flow, sidecar);
  }
  contacts_.OnReceipt(sidecar, receipt, now);
  switch (receipt.verdict) {
    case Verdict::kAlive:
      return;
    case Verdict::kPassed:
      OnPassed(sidecar, receipt, now);
      return;
    case Verdict::kTaken:
      hints_.Learn(receipt.flow, HashFlow(receipt.flow), UpstreamId{sidecar},
                   now);
      pending_.erase(receipt.flow);
      return;
    case Verdict::kUnheld:
    case Verdict::kUnknown:
      if (receipt.syn) {
        // An opening that all members passed on is offered again by OnTick().
        const auto found = pending_.find(receipt.flow);
        if (found == pending_.end()) return;
        found->second.waiting_for = 0;
        found->second.due = now + kOfferInterval;
      } else {
        pending_.erase(receipt.flow);
        OnUnheld(receipt, now, out);
      }
      return;
  }
}

void Balancer::OnPassed(InstanceAddress sidecar, const Receipt& receipt,
                        TimePoint now) {
  const auto found = pending_.find(receipt.flow);
  if (found == pending_.end()) {
    // The hint was wrong; the next packet is searched for.
    if (!receipt.syn) hints_.Forget(receipt.flow, HashFlow(receipt.flow));
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
  pending.next_hop =
      static_cast<std::uint8_t>(place - frame.hops.begin() + 1);
}

bool Balancer::CoversAllMembers(const Route& route, TimePoint now) const {
  std::size_t members = 0;
  const auto settled = [&](ServiceTag tag) {
    const auto service = services_.find(tag);
    if (service == services_.end()) return true;
    members += service->second.ranked.size();
    return now - service->second.changed >= kSettledAfter;
  };
  for (const auto& target : route.targets) {
    if (!settled(target.service)) return false;
  }
  for (const auto& former : route.former) {
    if (!settled(former)) return false;
  }
  return members <= kMaxHops;
}

void Balancer::OnUnheld(const Receipt& receipt, TimePoint now, Outbox& out) {
  ++stats_.unheld;
  hints_.Forget(receipt.flow, HashFlow(receipt.flow));
  if (receipt.verdict != Verdict::kUnheld) return;
  const auto* route = routes_->Find(receipt.flow.service);
  if (route == nullptr || !CoversAllMembers(*route, now)) return;
  if (!unheld_.Confirm(receipt.flow, now)) return;
  ++stats_.resets;
  Report("reset", "flow_unheld_by_all_members", receipt.flow);
  out.Reset(receipt.flow, receipt.caller_ack);
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
      Report("resend", "no_receipt", flow, pending.waiting_for,
             pending.next_hop);
    }
    const auto lifetime =
        pending.segment.opens() ? kOpeningLifetime : kSearchLifetime;
    if (now - pending.since > lifetime) {
      ++stats_.given_up;
      Report("give_up", "no_member_took_it", flow);
      entry = pending_.erase(entry);
      continue;
    }
    ++stats_.resent;
    // The order of an opening's list follows the load; a search goes on where
    // it stood.
    const bool found = !pending.segment.opens() || BuildList(pending, now);
    if (found) {
      Send(pending, now, out);
      ++entry;
    } else {
      entry = pending_.erase(entry);
    }
  }
  for (const auto sidecar : contacts_.TakeDueProbes(now)) {
    out.SendProbe(sidecar);
  }
  unheld_.Expire(now);
}

void Balancer::Report(std::string_view what, std::string_view reason,
                      const FlowKey& flow, InstanceAddress instance,
                      std::uint32_t place, std::uint32_t wait_us) {
  observer_->OnDecision(
      {what, reason, flow, instance, routes_->version, place, wait_us});
}

}  // namespace cowslip::segment
