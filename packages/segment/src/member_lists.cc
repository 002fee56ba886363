#include "cowslip/segment/member_lists.h"

#include <algorithm>
#include <array>

namespace cowslip::segment {
namespace {

/// Lost news of a member are mended by the regular messages within this time.
constexpr std::chrono::milliseconds kSettledAfter{700};

Upstream ToUpstream(const Member& member) {
  Upstream upstream;
  upstream.id = UpstreamId{member.sidecar};
  upstream.state =
      member.open ? UpstreamState::kActive : UpstreamState::kDraining;
  return upstream;
}

void Append(SegmentFrame& frame, InstanceAddress hop) {
  if (frame.hop_count < kMaxHops && !frame.Lists(hop)) {
    frame.hops[frame.hop_count++] = hop;
  }
}

/// Silent sidecars lose a frame, so they are left out; one of them may hold the
/// flow.
void LeaveOutSilent(const ContactBook& contacts, SegmentFrame& frame) {
  auto* const begin = frame.hops.begin();
  auto* const end = begin + frame.hop_count;
  auto* const kept = std::remove_if(
      begin, end, [&](InstanceAddress hop) { return contacts.IsSilent(hop); });
  if (kept == end) return;
  frame.inconclusive = true;
  // With nobody left to ask, they are asked all the same.
  if (kept != begin) frame.hop_count = static_cast<std::uint8_t>(kept - begin);
}

}  // namespace

void MemberLists::Set(ServiceTag tag, const std::vector<Member>& members,
                      bool joins, TimePoint now) {
  auto& service = services_[tag];
  std::vector<Upstream> before;
  before.swap(service.ranked);
  for (const auto& member : members) {
    const auto upstream = ToUpstream(member);
    const bool known =
        std::any_of(before.begin(), before.end(),
                    [&](const auto& each) { return each.id == upstream.id; });
    if (!known && joins) service.joined = now;
    service.ranked.push_back(upstream);
  }
}

bool MemberLists::HasMembers() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return !entry.second.ranked.empty();
  });
}

bool MemberLists::ReachesAny() const {
  return std::any_of(services_.begin(), services_.end(), [&](const auto& each) {
    const auto& members = each.second.ranked;
    return std::any_of(members.begin(), members.end(), [&](const auto& member) {
      return !contacts_->IsSilent(Raw(member.id));
    });
  });
}

bool MemberLists::IsSettled(const Route& route, TimePoint now) const {
  const auto settled = [&](ServiceTag tag) {
    const auto service = services_.find(tag);
    return service == services_.end() ||
           now - service->second.joined >= kSettledAfter;
  };
  return std::all_of(
             route.targets.begin(), route.targets.end(),
             [&](const auto& target) { return settled(target.service); }) &&
         std::all_of(route.former_services.begin(), route.former_services.end(),
                     settled);
}

/// Orders the first-ranked sidecars by the wait that they last told.
bool MemberLists::ListForOpening(std::uint64_t hash, TimePoint now,
                                 SegmentFrame& frame) {
  const auto service = services_.find(frame.service);
  if (service == services_.end()) return false;
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
    if (!contacts_->IsOpen(sidecar, listed_open)) continue;
    if (contacts_->IsSilent(sidecar)) continue;
    choices[count++] = {sidecar, contacts_->ExpectedWaitUs(sidecar, now)};
    if (count == choices.size()) break;
  }
  std::stable_sort(
      choices.begin(), choices.begin() + count,
      [](const auto& a, const auto& b) { return a.wait_us < b.wait_us; });
  for (std::size_t i = 0; i < count; ++i) Append(frame, choices[i].sidecar);
  // Those that seem closed may have opened: they come last. A silent one would
  // swallow an opening that the others have no free slot for, instead of
  // sending it to the shortest queue.
  for (const auto* upstream : ranking_.order()) {
    const auto sidecar = Raw(upstream->id);
    if (!contacts_->IsSilent(sidecar)) Append(frame, sidecar);
  }
  if (frame.hop_count > 0) return true;
  for (const auto* upstream : ranking_.order()) {
    Append(frame, Raw(upstream->id));
  }
  return frame.hop_count > 0;
}

/// Lists all members that may hold a flow, the likeliest first, and puts a part
/// of them on the frame.
///
/// Answers the pattern of a route that is moved to another service and
/// balancers that start anew afterwards: they don't know where it led before,
/// so the members of all other services are asked last.
std::size_t MemberLists::ListForSearch(const Route& route, std::uint64_t hash,
                                       std::size_t skip, bool knows_former,
                                       SegmentFrame& frame) {
  search_order_.clear();
  const auto chosen = route.ChooseService(hash);
  AppendRanked(chosen, hash);
  for (const auto& target : route.targets) {
    if (target.service != chosen) AppendRanked(target.service, hash);
  }
  for (const auto& former : route.former_services) AppendRanked(former, hash);
  if (skip >= search_order_.size() && !knows_former) {
    frame.other_service = true;
    for (const auto& [tag, service] : services_) AppendRanked(tag, hash);
  }
  auto next = skip;
  while (next < search_order_.size() && frame.hop_count < kMaxHops) {
    Append(frame, search_order_[next++]);
  }
  LeaveOutSilent(*contacts_, frame);
  return next - skip;
}

void MemberLists::AppendRanked(ServiceTag tag, std::uint64_t hash) {
  const auto service = services_.find(tag);
  if (service == services_.end()) return;
  ranking_.Build(service->second.ranked, hash);
  for (const auto* upstream : ranking_.order()) {
    const auto sidecar = Raw(upstream->id);
    const bool listed = std::find(search_order_.begin(), search_order_.end(),
                                  sidecar) != search_order_.end();
    if (!listed) search_order_.push_back(sidecar);
  }
}

}  // namespace cowslip::segment
