#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow.h"
#include "cowslip/segment/balancer_stats.h"
#include "cowslip/segment/candidate_selector.h"
#include "cowslip/segment/flow_knowledge.h"
#include "cowslip/segment/member.h"
#include "cowslip/segment/observer.h"
#include "cowslip/segment/outbox.h"
#include "cowslip/segment/owner_lookup.h"
#include "cowslip/segment/pending_packet.h"
#include "cowslip/segment/retry_budget.h"
#include "cowslip/segment/round_trip_estimator.h"
#include "cowslip/segment/route_table.h"
#include "cowslip/segment/sidecar_state_table.h"
#include "cowslip/segment/syn_refusal.h"

namespace cowslip::segment {

/// Forwarding logic of a balancer: selects the sidecar for each caller packet.
///
/// Keeps no state that a flow depends on. Every balancer with the same member
/// lists ranks the sidecars of a flow in the same order.
class Balancer {
 public:
  /// Capacity of the cache that maps a flow to its sidecar.
  static constexpr std::size_t kHintCapacity = 8192;

  /// @param data_center DataCenterTag() of its data centre, 0 if not known.
  Balancer(InstanceAddress self, Observer& observer, TimePoint started,
           std::uint64_t data_center = 0);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// @param follows_previous whether no version was in force anywhere between
  /// these routes and the ones before.
  void SetRoutes(std::shared_ptr<const RouteTable> routes,
                 bool follows_previous, TimePoint now);
  /// Some balancer has read the store, which held no version newer than this.
  void OnStoreRead(std::uint64_t newest_version, TimePoint read_at) {
    route_history_.OnVersionSeen(newest_version);
    route_history_.OnVerified(read_at);
  }
  /// The store has come back from an older copy.
  void OnStoreReturned(TimePoint now) { route_history_.OnInterrupted(now); }
  /// Replaces the members of a service.
  void SetMembers(ServiceTag service, const std::vector<Member>& members,
                  TimePoint now) {
    // The members of the first complete list did not join just now.
    members_.ReplaceMembers(service, members, membership_.is_listed(), now);
  }
  /// Call once the member lists hold all members that the store lists.
  void OnMembershipComplete(TimePoint now) { membership_.OnListed(now); }
  /// A message of another balancer has arrived, with which members are
  /// exchanged.
  void OnBalancerMessage(TimePoint now) { membership_.OnMessage(now); }
  /// Discards the state of a sidecar whose process has restarted.
  void OnSidecarRestart(InstanceAddress sidecar) {
    sidecar_states_.Erase(sidecar);
    outliers_.Erase(outlier::MemberId{sidecar});
    lookups_.OnSidecarRestart(sidecar);
  }

  /// A sidecar has published that it accepts new connections.
  void OnSidecarOpened(InstanceAddress sidecar) {
    sidecar_states_.OnListedOpen(sidecar);
  }

  /// Handles a packet from a caller.
  void OnPacket(const Segment& segment, ByteView packet, TimePoint now,
                Outbox& out);
  /// Handles an acknowledgement of a sidecar.
  void OnAck(InstanceAddress sidecar, const Ack& ack, TimePoint now,
             Outbox& out);
  /// Handles a reply of a sidecar to an owner query.
  void OnOwnerReply(InstanceAddress sidecar, const OwnerReply& reply,
                    TimePoint now, Outbox& out);
  /// Handles a datagram of a sidecar: an acknowledgement or a reply. Ignores
  /// other ones.
  void OnDatagram(InstanceAddress sidecar, ByteView datagram, TimePoint now,
                  Outbox& out);
  /// Sends the owner queries that are due. Call it every
  /// OwnerLookup::kBatchInterval while HasOwnerLookups().
  void AdvanceLookups(TimePoint now, Outbox& out);
  bool HasOwnerLookups() const { return lookups_.active(); }
  /// Resends packets that no sidecar has acknowledged. Call every few
  /// milliseconds.
  void OnTick(TimePoint now, Outbox& out);
  /// The process was suspended. Drops the packets that it had not placed: their
  /// callers have sent them again or have given up.
  void OnResume(TimePoint now);
  /// Handles a packet that waited in the socket through a suspension. Drops
  /// SYNs for the same reason. Packets of open flows are forwarded, as their
  /// callers may send them again only a second later.
  void OnBacklogPacket(const Segment& segment, ByteView packet, TimePoint now,
                       Outbox& out);

  const RouteTable& routes() const { return *routes_; }
  const BalancerStats& stats() const { return stats_; }
  /// @return members that fail or are slow beside their peers.
  const outlier::OutlierDetector& outliers() const { return outliers_; }
  /// @return whether some service has a member.
  bool HasMembers() const { return members_.HasMembers(); }
  /// @return whether there are members and all of them have been unresponsive
  /// for a while, as behind a partition.
  bool IsIsolated(TimePoint now) const;
  /// @return whether it knows all services that a route led to while its open
  /// flows began. If not, lookups include the members of all services.
  bool KnowsFormerServices(TimePoint now) const {
    return route_history_.IsComplete(now);
  }
  /// @return whether no member can be missing from its lists. If not, no flow
  /// is reset as one that no member owns.
  bool KnowsMembers(TimePoint now) const { return membership_.IsComplete(now); }

 private:
  /// Lookups that go on after the first visit, or after a query, per second and
  /// in a burst while some member is unresponsive or undecided.
  static constexpr double kFullLookupRate = 20;
  static constexpr double kFullLookupBurst = 100;
  /// Groups of members that a second and a burst of lookups visit after a query
  /// because they don't know the flow or did not answer. A group costs up to 36
  /// datagrams.
  static constexpr double kVisitRate = 100;
  static constexpr double kVisitBurst = 200;

  /// Interval of checks for a free slot while a lost flow waits for one.
  static constexpr std::chrono::milliseconds kFreeSlotCheckInterval{20};

  void HandleSyn(const Segment& segment, ByteView packet, TimePoint now,
                 Outbox& out);
  /// @return whether a route or member that a SYN needs may be missing only
  /// because this process has just started.
  bool MayLackMembers(const Segment& segment, TimePoint now) const;
  void RefuseSyn(const Segment& segment, RefusalReason reason, Outbox& out);
  /// Refuses a SYN whose address has no route, or its service no members.
  void RefuseWithoutMember(const Segment& segment, Outbox& out);
  void QueueSyn(PendingPacket&& pending, TimePoint now);
  void HandleExistingFlow(const Segment& segment, ByteView packet,
                          const Route& route, TimePoint now, Outbox& out);
  /// Sends a packet and tracks it until a sidecar has accepted it.
  void SendAndTrack(PendingPacket&& pending, TimePoint now, Outbox& out);
  void SendToCandidates(PendingPacket& pending, TimePoint now, Outbox& out);
  /// Sets the limit of upstreams that warm up, if the configuration has one.
  void AddWarmUpLimit(const Segment& segment, SegmentFrame& frame) const;
  /// @return whether the candidate list holds a sidecar.
  bool BuildCandidates(PendingPacket& pending, TimePoint now);
  void OnForwarded(InstanceAddress sidecar, const Ack& ack, TimePoint now);
  /// Resets a lost flow if an upstream has a free slot for the caller's next
  /// attempt.
  /// @return whether it was reset.
  bool ResetLostFlow(const PendingPacket& pending, TimePoint now, Outbox& out);
  /// Asks the other members once the first visit found no owner, visits those
  /// that don't know, or ends the lookup.
  /// @return whether the packet stays pending.
  bool ContinueLookup(PendingPacket& pending, TimePoint now, Outbox& out);
  /// @return whether the lookup may go on to further members.
  bool MayContinueLookup(const PendingPacket& pending, TimePoint now);
  /// @return the number of members that may own the flow; those of two services
  /// may count twice.
  std::size_t CountMembers(const PendingPacket& pending, TimePoint now) const;
  void AskMembers(PendingPacket& pending, TimePoint due);
  /// @return whether the packet stays pending.
  bool VisitUndecided(PendingPacket& pending, TimePoint now, Outbox& out);
  /// All members have answered: asks them again, or resets the flow.
  /// @return whether the packet stays pending.
  bool EndRound(PendingPacket& pending, TimePoint now, Outbox& out);
  /// Asks members of the services in which lost flows wait for a free slot for
  /// new reports.
  void RequestReports(TimePoint now, Outbox& out);
  void OnOwnerAnswer(OwnerAnswer&& answer, TimePoint now, Outbox& out);
  /// Puts members that are responsive on the frame, as many as fit.
  void ListMembersToVisit(PendingPacket& pending) const;
  /// Handles the state that a sidecar reports of itself.
  void OnSidecarState(InstanceAddress sidecar, const Ack& state, TimePoint now);
  /// @return whether to query the members after the likeliest ones. While a
  /// member is unresponsive, no lookup can end with certainty, so the others
  /// are queried for a limited number of flows only.
  bool MayQueryAllMembers(const Route& route, TimePoint now);
  /// Counts a missing acknowledgement against the sidecar that owes it.
  void NoteTimeout(PendingPacket& pending, TimePoint now);
  /// Measures the round trip of a packet's first transmission.
  void MeasureRoundTrip(InstanceAddress sidecar, const Ack& ack, TimePoint now);
  /// @return whether the retry budget allows to send the packet again now;
  /// otherwise its next attempt is later.
  bool MayResend(PendingPacket& pending, TimePoint now);
  bool RetrySyn(PendingPacket& pending, TimePoint now, Outbox& out);
  bool RetryLookup(PendingPacket& pending, TimePoint now, Outbox& out);
  void OnNotFound(const Ack& ack, TimePoint now, Outbox& out);
  /// No other member has accepted a SYN: offers it to outliers.
  /// @return whether there are any that it was not offered to.
  bool OfferToOutliers(PendingPacket& syn, const Ack& ack, TimePoint now,
                       Outbox& out);
  /// Asks outliers for reports, and logs which members are outliers.
  void UpdateOutliers(TimePoint now, Outbox& out);
  /// Refuses a SYN that no member has accepted, or lets it wait.
  /// @return whether it stays pending.
  bool OnSynNotAccepted(PendingPacket& syn, const Ack& ack, TimePoint now,
                        Outbox& out);
  /// Replaces the candidates of a SYN by one member with capacity.
  /// @return whether there is one.
  bool ForceChoice(PendingPacket& syn, TimePoint now);
  std::uint8_t PriorityOf(const Segment& segment) const;
  bool IsOutlier(InstanceAddress member) const {
    return outliers_.IsOutlier(outlier::MemberId{member});
  }
  /// @return why a member that may own the flow may not have been asked; empty
  /// if all have been.
  std::string_view MembersUncertainty(const PendingPacket& pending,
                                      TimePoint now) const;
  void LogDecision(std::string_view action, std::string_view reason,
                   const FlowKey& flow, InstanceAddress instance = 0,
                   std::uint32_t place = 0, std::uint32_t wait_us = 0);

  InstanceAddress self_;
  Observer* observer_;
  TimePoint started_;
  MembershipKnowledge membership_;
  std::optional<TimePoint> isolated_since_;
  std::shared_ptr<const RouteTable> routes_;
  RouteHistory route_history_;
  SidecarStateTable sidecar_states_;
  outlier::OutlierDetector outliers_;
  TimePoint outliers_expired_at_{};
  CandidateSelector members_;
  flow::HintCache hints_;
  PendingPackets pending_;
  RoundTripEstimator round_trips_;
  RetryBudget retry_budget_;
  SynRefusal syn_refusal_;
  TokenBucket full_lookup_budget_{kFullLookupRate, kFullLookupBurst};
  TokenBucket visit_budget_{kVisitRate, kVisitBurst};
  BalancerStats stats_;
  /// Services in which lost flows have found no free slot in this tick.
  std::unordered_set<ServiceTag> services_without_slot_;
  std::uint64_t next_lookup_ = 1;
  OwnerLookup lookups_;
  std::vector<OwnerAnswer> owner_answers_;
};

}  // namespace cowslip::segment
