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
/// Openings watched at the same time; 250 a second are usual.
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
  const auto hash = HashFlow(segment.flow);
  PendingOpening opening;
  opening.flow = segment.flow;
  opening.since = now;
  opening.frame.service = route.Choose(hash);
  // A copy starts one place later, past a sidecar that didn't answer.
  opening.next_hop = static_cast<std::uint8_t>(segment.ack % kMaxHops);
  if (packet.size() > PendingOpening::kMaxPacket) return;
  std::copy(packet.begin(), packet.end(), opening.packet.begin());
  opening.packet_size = static_cast<std::uint8_t>(packet.size());
  if (!BuildOpeningList(opening, hash, now)) {
    ++stats_.no_member;
    ++stats_.resets;
    Report("refuse", "no_member", segment.flow);
    out.Reset(segment.flow, 0);
    return;
  }
  if (pending_.size() >= kMaxPending) {
    ++stats_.late_openings;
    SendOpening(opening, now, out);
    return;
  }
  auto& kept = pending_.insert_or_assign(segment.flow, opening).first->second;
  SendOpening(kept, now, out);
}

/// Orders the first-ranked sidecars by the wait that they last told.
bool Balancer::BuildOpeningList(PendingOpening& opening, std::uint64_t hash,
                                TimePoint now) {
  auto& frame = opening.frame;
  frame.hop_count = 0;
  const auto service = services_.find(frame.service);
  if (service == services_.end() || service->second.ranked.empty()) {
    return false;
  }
  ranking_.Build(service->second.ranked, hash);
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
  return true;
}

void Balancer::SendOpening(PendingOpening& opening, TimePoint now,
                           Outbox& out) {
  auto frame = opening.frame;
  const auto start = opening.next_hop % frame.hop_count;
  std::rotate(frame.hops.begin(), frame.hops.begin() + start,
              frame.hops.begin() + frame.hop_count);
  frame.config = routes_->version;
  frame.balancer = self_;
  opening.waiting_for = frame.hops[0];
  opening.due = now + kReceiptTimeout;
  ++opening.attempts;
  ++opening.next_hop;
  out.SendFrame(frame.hops[0], frame, opening.bytes());
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
  SegmentFrame frame;
  frame.service = route.Choose(hash);
  frame.config = routes_->version;
  frame.balancer = self_;
  const auto hint = hints_.Find(segment.flow, hash, now);
  if (hint) Append(frame, Raw(*hint));
  AppendRanked(frame.service, hash, frame);
  for (const auto& target : route.targets) {
    AppendRanked(target.service, hash, frame);
  }
  for (const auto& former : route.former) AppendRanked(former, hash, frame);
  if (frame.hop_count == 0) {
    ++stats_.no_member;
    return;
  }
  MoveSilentBack(contacts_, frame);
  out.SendFrame(frame.hops[0], frame, packet);
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
    case Verdict::kPassed: {
      const auto found = pending_.find(receipt.flow);
      if (found != pending_.end() && found->second.waiting_for == sidecar) {
        found->second.waiting_for = 0;
      }
      return;
    }
    case Verdict::kTaken:
      hints_.Learn(receipt.flow, HashFlow(receipt.flow), UpstreamId{sidecar},
                   now);
      if (receipt.syn) pending_.erase(receipt.flow);
      return;
    case Verdict::kUnheld:
    case Verdict::kUnknown:
      if (!receipt.syn) OnUnheld(receipt, now, out);
      // An opening that all members passed on is offered again by OnTick.
      if (receipt.syn) {
        const auto found = pending_.find(receipt.flow);
        if (found == pending_.end()) return;
        found->second.waiting_for = 0;
        found->second.due = now + kOfferInterval;
      }
      return;
  }
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
    auto& opening = entry->second;
    if (now < opening.due) {
      ++entry;
      continue;
    }
    if (opening.waiting_for != 0) {
      contacts_.OnMiss(opening.waiting_for, now);
      Report("resend", "no_receipt", opening.flow, opening.waiting_for,
             opening.next_hop);
    }
    if (now - opening.since > kOpeningLifetime) {
      ++stats_.given_up;
      Report("give_up", "no_member_took_it", opening.flow);
      entry = pending_.erase(entry);
      continue;
    }
    ++stats_.resent;
    if (BuildOpeningList(opening, HashFlow(opening.flow), now)) {
      SendOpening(opening, now, out);
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
