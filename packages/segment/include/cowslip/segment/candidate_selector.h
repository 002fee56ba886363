#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow.h"
#include "cowslip/outlier.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/locality.h"
#include "cowslip/segment/member.h"
#include "cowslip/segment/route_table.h"
#include "cowslip/segment/sidecar_state_table.h"

namespace cowslip::segment {

/// The members of all services. Builds the candidate list of a frame: members
/// ranked by the hash of the flow, adjusted by the state of each sidecar and,
/// where members are known to be in several data centres, by Placement.
class CandidateSelector {
 public:
  /// Number of top-ranked sidecars that are ordered by load for a new
  /// connection.
  static constexpr std::size_t kPlacementCandidates = 4;

  /// @param data_center DataCenterTag() of the balancer's own data centre, 0 if
  /// it is not known.
  /// @param outliers nullptr if members are not compared.
  CandidateSelector(const SidecarStateTable& sidecar_states,
                    std::uint64_t data_center,
                    outlier::OutlierDetector* outliers = nullptr)
      : sidecar_states_(&sidecar_states),
        data_center_(data_center),
        outliers_(outliers) {}

  /// Replaces the members of a service.
  /// @param joined_now whether members that were not listed before count as
  /// having joined now.
  void ReplaceMembers(ServiceTag tag, const std::vector<Member>& members,
                      bool joined_now, TimePoint now);
  bool HasMembers() const;
  /// @return whether all members understand frames with a request class.
  bool AllReadRequestClass() const;
  /// @return whether all candidates of a frame understand frames with a limit
  /// of upstreams that warm up: those of a SYN are members of one service.
  bool AllReadWarmUpLimit(ServiceTag service, bool is_syn) const;
  /// @return how often a member was removed, or moved by a change of its data
  /// centre. Positions in the ranking that were determined before mean other
  /// members afterwards.
  std::uint64_t removals() const { return removals_; }
  /// @return whether some member of some service is responsive.
  bool HasResponsiveMember() const;
  /// @return whether no member has joined lately that may own a flow.
  /// @param knows_former as for ListForExistingFlow().
  bool IsStable(const Route& route, bool knows_former, TimePoint now) const;
  /// @return whether all members that may own a flow are responsive, so that a
  /// lookup can end with certainty.
  /// @param knows_former as for ListForExistingFlow().
  bool AllResponsive(const Route& route, bool knows_former) const;
  /// @return whether some member of a service meets a condition.
  template <typename Condition>
  bool AnyMember(ServiceTag tag, const Condition& condition) const {
    const auto service = services_.find(tag);
    if (service == services_.end()) return false;
    const auto& members = service->second.upstreams;
    return std::any_of(members.begin(), members.end(), [&](const auto& member) {
      return condition(InstanceAddress{Raw(member.id)});
    });
  }

  /// @return where a member of a service is, seen from the balancer.
  Locality LocalityOf(ServiceTag tag, InstanceAddress member) const;
  /// Calls a function with the tag and the members of each service.
  template <typename Visit>
  void ForEachService(const Visit& visit) const {
    for (const auto& [tag, service] : services_) visit(tag, service.upstreams);
  }

  /// Adds candidates for a new connection to a frame, the best first. An
  /// outlier whose trial is due comes first; others are not listed unless no
  /// other member is responsive. @see ListOutliers()
  /// @param latency_target of the route.
  /// @return whether the connection is a trial.
  bool ListForNewFlow(std::uint64_t hash,
                      std::optional<std::chrono::milliseconds> latency_target,
                      TimePoint now, SegmentFrame& frame);
  /// Adds the outliers of a service to a frame, at most kPlacementCandidates,
  /// for a new connection that no other member has accepted.
  /// @return whether there are any.
  bool ListOutliers(std::uint64_t hash, TimePoint now, SegmentFrame& frame);
  /// Adds the members that may own a flow to a frame, the likeliest first:
  /// those of the own data centre that rank first, where Placement prefers
  /// them, then the ranking.
  /// @param skip number of candidates that were queried already.
  /// @param knows_former whether the route lists all services that may own open
  /// connections; otherwise the members of all other services follow.
  /// @return the number of candidates after `skip` that are covered, including
  /// unresponsive ones that are not on the frame.
  std::size_t ListForExistingFlow(const Route& route, std::uint64_t hash,
                                  std::size_t skip, bool knows_former,
                                  SegmentFrame& frame);

 private:
  /// Members of one service.
  struct Service {
    /// Members in the form that flow::Ranking takes.
    std::vector<Upstream> upstreams;
    /// Locality of each of them.
    std::vector<Locality> localities;
    /// Members are known to be in the own data centre and in others.
    bool spans_data_centers = false;
    TimePoint last_join{};    ///< When a member last joined.
    TimePoint compared_at{};  ///< When its members were last compared.
    /// Least Member::frame_version of its members.
    std::uint8_t frame_version = kFrameVersion;
  };

  /// @return whether a connection to a ranked member stays local. A member of
  /// an unknown data centre counts as local, as nothing speaks against it.
  static bool IsLocal(const Service& service, const Upstream& ranked);
  /// @return whether a member is open and responsive.
  bool IsAvailable(const Upstream& ranked, TimePoint now) const;
  /// @return whether it is neither unavailable nor an outlier.
  bool IsCandidate(const Upstream& ranked, TimePoint now) const {
    return IsAvailable(ranked, now) && !IsOutlier(ranked);
  }
  bool IsOutlier(const Upstream& ranked) const {
    return outliers_ != nullptr &&
           outliers_->IsOutlier(outlier::MemberId{Raw(ranked.id)});
  }
  /// Compares the members of a service, if they have not been lately.
  void CompareMembers(Service& service, TimePoint now);
  /// Adds an outlier whose trial is due, if there is one.
  /// @return whether there is.
  bool AppendTrial(TimePoint now, SegmentFrame& frame);
  /// Adds the candidates of Placement for a new connection.
  void AppendPlaced(const Service& service,
                    std::optional<std::chrono::milliseconds> latency_target,
                    TimePoint now, SegmentFrame& frame) const;
  /// Adds the first-ranked open members by their last reported wait.
  void AppendByWait(TimePoint now, SegmentFrame& frame) const;
  Locality LocalityOfTag(std::uint64_t data_center) const;
  void AppendCandidates(ServiceTag tag, std::uint64_t hash);
  void AppendCandidate(InstanceAddress sidecar);
  /// @return whether all services whose members may own a flow meet a
  /// condition.
  template <typename Condition>
  bool AllServices(const Route& route, bool knows_former,
                   const Condition& condition) const {
    if (!knows_former) {
      return std::all_of(
          services_.begin(), services_.end(),
          [&](const auto& each) { return condition(each.first); });
    }
    return std::all_of(
               route.targets.begin(), route.targets.end(),
               [&](const auto& each) { return condition(each.service); }) &&
           std::all_of(route.former_services.begin(),
                       route.former_services.end(), condition);
  }

  const SidecarStateTable* sidecar_states_;
  std::uint64_t data_center_;
  outlier::OutlierDetector* outliers_;
  std::vector<outlier::MemberId> compared_;
  std::unordered_map<ServiceTag, Service> services_;
  std::uint64_t removals_ = 0;
  flow::Ranking ranking_;
  std::vector<InstanceAddress> candidates_;
};

}  // namespace cowslip::segment
