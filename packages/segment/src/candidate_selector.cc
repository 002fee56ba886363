#include "cowslip/segment/candidate_selector.h"

#include <algorithm>
#include <array>
#include <utility>

#include "cowslip/segment/placement.h"

namespace cowslip::segment {
namespace {

/// Time without joins after which all members count as known. Heartbeats make
/// up for a lost membership update within it.
constexpr std::chrono::milliseconds kStabilityDelay{700};
/// Interval at which the members of a service are compared. Half of the weight
/// of what they report is from the last second.
constexpr std::chrono::milliseconds kComparisonInterval{100};

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

Locality CandidateSelector::LocalityOfTag(std::uint64_t data_center) const {
  if (data_center == 0 || data_center_ == 0) return Locality::kUnknown;
  return data_center == data_center_ ? Locality::kOwn : Locality::kOther;
}

void CandidateSelector::ReplaceMembers(ServiceTag tag,
                                       const std::vector<Member>& members,
                                       bool joined_now, TimePoint now) {
  auto& service = services_[tag];
  const auto previous = std::move(service);
  service = Service{};
  service.last_join = previous.last_join;
  service.compared_at = previous.compared_at;
  bool known_own = false;
  bool known_other = false;
  for (const auto& member : members) {
    service.upstreams.push_back(ToUpstream(member));
    service.frame_version =
        std::min(service.frame_version, member.frame_version);
    const auto locality = LocalityOfTag(member.data_center);
    service.localities.push_back(locality);
    known_own = known_own || locality == Locality::kOwn;
    known_other = known_other || locality == Locality::kOther;
  }
  service.spans_data_centers = known_own && known_other;
  const auto find = [](const Service& in, UpstreamId id) {
    return std::find_if(in.upstreams.begin(), in.upstreams.end(),
                        [&](const auto& each) { return each.id == id; });
  };
  const bool joined =
      std::any_of(service.upstreams.begin(), service.upstreams.end(),
                  [&](const auto& each) {
                    return find(previous, each.id) == previous.upstreams.end();
                  });
  if (joined && joined_now) service.last_join = now;
  const bool moved =
      std::any_of(previous.upstreams.begin(), previous.upstreams.end(),
                  [&](const auto& former) {
                    const auto same = find(service, former.id);
                    return same == service.upstreams.end() ||
                           IsLocal(service, *same) != IsLocal(previous, former);
                  });
  if (moved) ++removals_;
}

bool CandidateSelector::IsLocal(const Service& service,
                                const Upstream& ranked) {
  const auto index = &ranked - service.upstreams.data();
  return service.spans_data_centers &&
         service.localities[static_cast<std::size_t>(index)] !=
             Locality::kOther;
}

Locality CandidateSelector::LocalityOf(ServiceTag tag,
                                       InstanceAddress member) const {
  const auto service = services_.find(tag);
  if (service == services_.end()) return Locality::kUnknown;
  const auto& upstreams = service->second.upstreams;
  const auto found =
      std::find_if(upstreams.begin(), upstreams.end(),
                   [&](const auto& each) { return Raw(each.id) == member; });
  if (found == upstreams.end()) return Locality::kUnknown;
  return service->second
      .localities[static_cast<std::size_t>(found - upstreams.begin())];
}

bool CandidateSelector::HasMembers() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return !entry.second.upstreams.empty();
  });
}

bool CandidateSelector::AllReadRequestClass() const {
  return std::all_of(services_.begin(), services_.end(), [](const auto& each) {
    return each.second.frame_version >= kRequestClassVersion;
  });
}

bool CandidateSelector::AllReadWarmUpLimit(ServiceTag service,
                                           bool is_syn) const {
  const auto reads = [](const auto& each) {
    return each.second.frame_version >= kWarmUpLimitVersion;
  };
  if (!is_syn) return std::all_of(services_.begin(), services_.end(), reads);
  const auto found = services_.find(service);
  return found != services_.end() && reads(*found);
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

bool CandidateSelector::IsAvailable(const Upstream& ranked,
                                    TimePoint now) const {
  const auto sidecar = Raw(ranked.id);
  const bool listed_open = ranked.state == UpstreamState::kActive;
  return sidecar_states_->IsOpen(sidecar, listed_open, now) &&
         !sidecar_states_->IsUnresponsive(sidecar);
}

void CandidateSelector::AppendPlaced(
    const Service& service,
    std::optional<std::chrono::milliseconds> latency_target, TimePoint now,
    SegmentFrame& frame) const {
  Placement placement;
  for (const auto* upstream : ranking_.order()) {
    if (placement.IsFull()) break;
    if (!IsCandidate(*upstream, now)) continue;
    const InstanceAddress sidecar = Raw(upstream->id);
    placement.Offer(
        {.sidecar = sidecar,
         .is_local = IsLocal(service, *upstream),
         .wait = sidecar_states_->RecentWait(sidecar, now),
         .reservations = sidecar_states_->Reservations(sidecar, now)});
  }
  for (const auto& candidate : placement.Order(latency_target)) {
    Append(frame, candidate.sidecar);
  }
}

void CandidateSelector::AppendByWait(TimePoint now, SegmentFrame& frame) const {
  struct Candidate {
    InstanceAddress sidecar;
    std::uint32_t wait_us;
  };
  std::array<Candidate, kPlacementCandidates> closest;
  std::size_t count = 0;
  for (const auto* upstream : ranking_.order()) {
    if (!IsCandidate(*upstream, now)) continue;
    const auto sidecar = Raw(upstream->id);
    closest[count++] = {sidecar, sidecar_states_->ExpectedWaitUs(sidecar, now)};
    if (count == closest.size()) break;
  }
  std::stable_sort(
      closest.begin(), closest.begin() + count,
      [](const auto& a, const auto& b) { return a.wait_us < b.wait_us; });
  for (std::size_t i = 0; i < count; ++i) Append(frame, closest[i].sidecar);
}

bool CandidateSelector::ListForNewFlow(
    std::uint64_t hash, std::optional<std::chrono::milliseconds> latency_target,
    TimePoint now, SegmentFrame& frame) {
  const auto service = services_.find(frame.service);
  if (service == services_.end()) return false;
  CompareMembers(service->second, now);
  ranking_.Build(service->second.upstreams, hash);
  const bool is_trial = AppendTrial(now, frame);
  if (service->second.spans_data_centers) {
    AppendPlaced(service->second, latency_target, now, frame);
  } else {
    AppendByWait(now, frame);
  }
  // Sidecars that were closed when last seen may have opened since, so they
  // come last. An unresponsive one would lose a SYN for which no other has a
  // free slot, instead of forwarding it to the shortest queue.
  for (const auto* upstream : ranking_.order()) {
    const auto sidecar = Raw(upstream->id);
    const bool is_last =
        sidecar_states_->IsUnresponsive(sidecar) || IsOutlier(*upstream);
    if (!is_last) Append(frame, sidecar);
  }
  if (frame.hop_count > 0) return is_trial;
  if (ListOutliers(hash, now, frame)) return false;
  for (const auto* upstream : ranking_.order()) {
    Append(frame, Raw(upstream->id));
  }
  return false;
}

void CandidateSelector::CompareMembers(Service& service, TimePoint now) {
  if (outliers_ == nullptr || outliers_->empty()) return;
  if (now - service.compared_at < kComparisonInterval) return;
  service.compared_at = now;
  compared_.clear();
  for (const auto& upstream : service.upstreams) {
    compared_.push_back(outlier::MemberId{Raw(upstream.id)});
  }
  outliers_->Evaluate(compared_, now);
}

bool CandidateSelector::AppendTrial(TimePoint now, SegmentFrame& frame) {
  if (outliers_ == nullptr || outliers_->outliers() == 0) return false;
  for (const auto* upstream : ranking_.order()) {
    const outlier::MemberId member{Raw(upstream->id)};
    if (!outliers_->IsTrialDue(member, now) || !IsAvailable(*upstream, now)) {
      continue;
    }
    outliers_->OnTrial(member, now);
    Append(frame, Raw(upstream->id));
    return true;
  }
  return false;
}

bool CandidateSelector::ListOutliers(std::uint64_t hash, TimePoint now,
                                     SegmentFrame& frame) {
  if (outliers_ == nullptr || outliers_->outliers() == 0) return false;
  const auto service = services_.find(frame.service);
  if (service == services_.end()) return false;
  frame.hop_count = 0;
  ranking_.Build(service->second.upstreams, hash);
  for (const auto* upstream : ranking_.order()) {
    if (frame.hop_count == kPlacementCandidates) break;
    if (IsOutlier(*upstream) && IsAvailable(*upstream, now)) {
      Append(frame, Raw(upstream->id));
    }
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
  // Placement prefers local members, so they are the likeliest owners. Which
  // ones are listed first depends on the ranking alone, not on their state, so
  // that positions stay the same between the groups of one lookup.
  std::size_t local = 0;
  for (const auto* upstream : ranking_.order()) {
    if (local == Placement::kLocalCandidates) break;
    if (!IsLocal(service->second, *upstream)) continue;
    AppendCandidate(Raw(upstream->id));
    ++local;
  }
  for (const auto* upstream : ranking_.order()) {
    AppendCandidate(Raw(upstream->id));
  }
}

void CandidateSelector::AppendCandidate(InstanceAddress sidecar) {
  const bool listed = std::find(candidates_.begin(), candidates_.end(),
                                sidecar) != candidates_.end();
  if (!listed) candidates_.push_back(sidecar);
}

}  // namespace cowslip::segment
