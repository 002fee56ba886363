#include "cowslip/segment/candidate_selector.h"

#include <algorithm>
#include <array>

namespace cowslip::segment {
namespace {

/// Time without joins after which all members count as known. Heartbeats make
/// up for a lost membership update within it.
constexpr std::chrono::milliseconds kStabilityDelay{700};

Upstream ToUpstream(const Member& member) {
  Upstream upstream;
  upstream.id = UpstreamId{member.sidecar};
  upstream.state =
      member.open ? UpstreamState::kActive : UpstreamState::kDraining;
  return upstream;
}

void Append(SegmentFrame& frame, InstanceAddress hop) {
  if (frame.hop_count < kMaxHops && !frame.HasHop(hop)) {
    frame.hops[frame.hop_count++] = hop;
  }
}

/// Removes unresponsive sidecars, which would lose the frame, and marks the
/// frame as inconclusive, as one of them may own the flow.
void RemoveUnresponsive(const SidecarStateTable& sidecar_states,
                        SegmentFrame& frame) {
  auto* const begin = frame.hops.begin();
  auto* const end = begin + frame.hop_count;
  auto* const last = std::remove_if(begin, end, [&](InstanceAddress hop) {
    return sidecar_states.IsUnresponsive(hop);
  });
  if (last == end) return;
  frame.inconclusive = true;
  // If all candidates are unresponsive, they are kept.
  if (last != begin) frame.hop_count = static_cast<std::uint8_t>(last - begin);
}

}  // namespace

void CandidateSelector::ReplaceMembers(ServiceTag tag,
                                       const std::vector<Member>& members,
                                       bool joined_now, TimePoint now) {
  auto& service = services_[tag];
  std::vector<Upstream> previous;
  previous.swap(service.upstreams);
  service.all_read_request_class =
      std::all_of(members.begin(), members.end(),
                  [](const auto& each) { return each.frame_version >= 1; });
  for (const auto& member : members) {
    const auto upstream = ToUpstream(member);
    const bool known =
        std::any_of(previous.begin(), previous.end(),
                    [&](const auto& each) { return each.id == upstream.id; });
    if (!known && joined_now) service.last_join = now;
    service.upstreams.push_back(upstream);
  }
  const bool removed =
      std::any_of(previous.begin(), previous.end(), [&](const auto& former) {
        return std::none_of(
            service.upstreams.begin(), service.upstreams.end(),
            [&](const auto& each) { return each.id == former.id; });
      });
  if (removed) ++removals_;
}

bool CandidateSelector::HasMembers() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return !entry.second.upstreams.empty();
  });
}

bool CandidateSelector::AllReadRequestClass() const {
  return std::all_of(services_.begin(), services_.end(), [](const auto& each) {
    return each.second.all_read_request_class;
  });
}

bool CandidateSelector::HasResponsiveMember() const {
  return std::any_of(services_.begin(), services_.end(), [&](const auto& each) {
    const auto& members = each.second.upstreams;
    return std::any_of(members.begin(), members.end(), [&](const auto& member) {
      return !sidecar_states_->IsUnresponsive(Raw(member.id));
    });
  });
}

bool CandidateSelector::AllResponsive(const Route& route,
                                      bool knows_former) const {
  return AllServices(route, knows_former, [&](ServiceTag tag) {
    return !AnyMember(tag, [&](InstanceAddress member) {
      return sidecar_states_->IsUnresponsive(member);
    });
  });
}

bool CandidateSelector::IsStable(const Route& route, bool knows_former,
                                 TimePoint now) const {
  return AllServices(route, knows_former, [&](ServiceTag tag) {
    const auto service = services_.find(tag);
    return service == services_.end() ||
           now - service->second.last_join >= kStabilityDelay;
  });
}

/// Orders the top-ranked sidecars by their last reported wait.
bool CandidateSelector::ListForNewFlow(std::uint64_t hash, TimePoint now,
                                       SegmentFrame& frame) {
  const auto service = services_.find(frame.service);
  if (service == services_.end()) return false;
  ranking_.Build(service->second.upstreams, hash);
  struct Candidate {
    InstanceAddress sidecar;
    std::uint32_t wait_us;
  };
  std::array<Candidate, kPlacementCandidates> closest;
  std::size_t count = 0;
  for (const auto* upstream : ranking_.order()) {
    const auto sidecar = Raw(upstream->id);
    const bool listed_open = upstream->state == UpstreamState::kActive;
    if (!sidecar_states_->IsOpen(sidecar, listed_open)) continue;
    if (sidecar_states_->IsUnresponsive(sidecar)) continue;
    closest[count++] = {sidecar, sidecar_states_->ExpectedWaitUs(sidecar, now)};
    if (count == closest.size()) break;
  }
  std::stable_sort(
      closest.begin(), closest.begin() + count,
      [](const auto& a, const auto& b) { return a.wait_us < b.wait_us; });
  for (std::size_t i = 0; i < count; ++i) Append(frame, closest[i].sidecar);
  // Sidecars that were closed when last seen may have opened since, so they
  // come last. An unresponsive one would lose a SYN for which no other has a
  // free slot, instead of forwarding it to the shortest queue.
  for (const auto* upstream : ranking_.order()) {
    const auto sidecar = Raw(upstream->id);
    if (!sidecar_states_->IsUnresponsive(sidecar)) Append(frame, sidecar);
  }
  if (frame.hop_count > 0) return true;
  for (const auto* upstream : ranking_.order()) {
    Append(frame, Raw(upstream->id));
  }
  return frame.hop_count > 0;
}

/// Ranks all members that may own a flow, the likeliest first, and adds a part
/// of them to the frame.
///
/// Handles a route that is moved to another service before the balancers
/// restart: their former service is unknown to the new processes, so the
/// members of all other services are queried last.
std::size_t CandidateSelector::ListForExistingFlow(const Route& route,
                                                   std::uint64_t hash,
                                                   std::size_t skip,
                                                   bool knows_former,
                                                   SegmentFrame& frame) {
  candidates_.clear();
  const auto chosen = route.ChooseService(hash);
  AppendCandidates(chosen, hash);
  for (const auto& target : route.targets) {
    if (target.service != chosen) AppendCandidates(target.service, hash);
  }
  for (const auto& old : route.former_services) AppendCandidates(old, hash);
  if (skip >= candidates_.size() && !knows_former) {
    frame.other_service = true;
    for (const auto& [tag, service] : services_) AppendCandidates(tag, hash);
  }
  auto next = skip;
  while (next < candidates_.size() && frame.hop_count < kMaxHops) {
    Append(frame, candidates_[next++]);
  }
  RemoveUnresponsive(*sidecar_states_, frame);
  return next - skip;
}

void CandidateSelector::AppendCandidates(ServiceTag tag, std::uint64_t hash) {
  const auto service = services_.find(tag);
  if (service == services_.end()) return;
  ranking_.Build(service->second.upstreams, hash);
  for (const auto* upstream : ranking_.order()) {
    const auto sidecar = Raw(upstream->id);
    const bool listed = std::find(candidates_.begin(), candidates_.end(),
                                  sidecar) != candidates_.end();
    if (!listed) candidates_.push_back(sidecar);
  }
}

}  // namespace cowslip::segment
