#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow.h"
#include "cowslip/segment/balancer_stats.h"
#include "cowslip/segment/contact_book.h"
#include "cowslip/segment/member.h"
#include "cowslip/segment/member_lists.h"
#include "cowslip/segment/observer.h"
#include "cowslip/segment/outbox.h"
#include "cowslip/segment/pending_packet.h"
#include "cowslip/segment/route_table.h"

namespace cowslip::segment {

/// Decides where a balancer sends the packets of callers. Holds nothing that a
/// flow needs: any balancer with the same members finds the same sidecars.
class Balancer {
 public:
  /// Flows whose sidecar is remembered.
  static constexpr std::size_t kHintCapacity = 8192;

  Balancer(InstanceAddress self, Observer& observer, TimePoint started);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    routes_ = std::move(routes);
  }
  /// Replaces the members of a service.
  void SetMembers(ServiceTag service, const std::vector<Member>& members,
                  TimePoint now) {
    // Those that come with the first complete list did not join just now.
    members_.Set(service, members, complete_since_.has_value(), now);
  }
  /// All members that the store lists are known now.
  void OnMembershipComplete(TimePoint now) {
    if (!complete_since_) complete_since_ = now;
  }
  /// A sidecar has started anew.
  void OnSidecarRestart(InstanceAddress sidecar) { contacts_.Forget(sidecar); }

  void OnPacket(const Segment& segment, ByteView packet, TimePoint now,
                Outbox& out);
  void OnAck(InstanceAddress sidecar, const Ack& receipt, TimePoint now,
             Outbox& out);
  /// Repeats what was not answered; call it every few milliseconds.
  void OnTick(TimePoint now, Outbox& out);

  const RouteTable& routes() const { return *routes_; }
  const BalancerStats& stats() const { return stats_; }
  /// @return whether there is a route to some service with a member.
  bool HasMembers() const { return members_.HasMembers(); }
  /// @return whether no member of any service has answered for a while.
  bool IsIsolated(TimePoint now) const;

 private:
  void OnOpening(const Segment& segment, ByteView packet, TimePoint now,
                 Outbox& out);
  /// @return whether what is missing for an opening may only be unknown yet.
  bool StillLearning(const Segment& segment, TimePoint now) const;
  void Refuse(const Segment& segment, Outbox& out);
  void Wait(PendingPacket&& pending, TimePoint now);
  void OnContinuing(const Segment& segment, ByteView packet, const Route& route,
                    TimePoint now, Outbox& out);
  /// Sends a packet and watches it until a sidecar has taken it.
  void Search(PendingPacket&& pending, TimePoint now, Outbox& out);
  void Send(PendingPacket& pending, TimePoint now, Outbox& out);
  /// @return whether there is a sidecar to send it to.
  bool BuildList(PendingPacket& pending, TimePoint now);
  void OnPassed(InstanceAddress sidecar, const Ack& receipt, TimePoint now);
  /// Resets a lost flow if an upstream has a free slot for the next try.
  /// @return whether it was reset.
  bool ResetLost(const PendingPacket& pending, TimePoint now, Outbox& out);
  /// Asks the members behind those of the list, or concludes the search.
  /// @return whether the packet is kept.
  bool SearchOn(PendingPacket& pending, TimePoint now, Outbox& out);
  bool OfferAgain(PendingPacket& pending, TimePoint now, Outbox& out);
  bool AskAgain(PendingPacket& pending, TimePoint now, Outbox& out);
  bool KnowsFormerServices(TimePoint now) const;
  void OnUnheld(const Ack& receipt, TimePoint now, Outbox& out);
  bool KnowsAllMembers(const Route& route, TimePoint now) const;
  void Report(std::string_view what, std::string_view reason,
              const FlowKey& flow, InstanceAddress instance = 0,
              std::uint32_t place = 0, std::uint32_t wait_us = 0);

  InstanceAddress self_;
  Observer* observer_;
  TimePoint started_;
  std::optional<TimePoint> complete_since_;
  std::optional<TimePoint> isolated_since_;
  std::shared_ptr<const RouteTable> routes_;
  ContactBook contacts_;
  MemberLists members_;
  flow::HintCache hints_;
  PendingPackets pending_;
  BalancerStats stats_;
};

}  // namespace cowslip::segment
