#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/flow.h"
#include "cowslip/segment/contact_book.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/member.h"
#include "cowslip/segment/route_table.h"

namespace cowslip::segment {

/// Which members of a service get a packet, in which order: ranked by the hash
/// of its flow, and by what the balancer's own exchanges say of them.
class MemberLists {
 public:
  /// Sidecars among which a new connection is placed, by their load.
  static constexpr std::size_t kPlacementChoices = 4;

  explicit MemberLists(const ContactBook& contacts) : contacts_(&contacts) {}

  /// Replaces the members of a service.
  /// @param joins whether those that are new joined just now.
  void Set(ServiceTag tag, const std::vector<Member>& members, bool joins,
           TimePoint now);
  bool HasMembers() const;
  /// @return whether some member of some service is not silent.
  bool ReachesAny() const;
  /// @return whether no member of a route's services has joined lately.
  bool IsSettled(const Route& route, TimePoint now) const;
  /// @return whether some member of a service meets a condition.
  template <typename Condition>
  bool AnyOf(ServiceTag tag, const Condition& holds) const {
    const auto service = services_.find(tag);
    if (service == services_.end()) return false;
    const auto& members = service->second.ranked;
    return std::any_of(members.begin(), members.end(), [&](const auto& member) {
      return holds(InstanceAddress{Raw(member.id)});
    });
  }

  /// Puts those on a frame that may take a new connection, the best first.
  /// @return whether there are any.
  bool ListForOpening(std::uint64_t hash, TimePoint now, SegmentFrame& frame);
  /// Puts those on a frame that may hold a flow, the likeliest first.
  /// @param skip members that were asked already.
  /// @param knows_former the route holds all services that an open connection
  ///     can be at; otherwise the members of all others follow.
  /// @return how many members behind those skipped the list covers.
  std::size_t ListForSearch(const Route& route, std::uint64_t hash,
                            std::size_t skip, bool knows_former,
                            SegmentFrame& frame);

 private:
  struct Service {
    std::vector<Upstream> ranked;  ///< Members as the ranking takes them.
    TimePoint joined{};            ///< When a member was last added.
  };

  void AppendRanked(ServiceTag tag, std::uint64_t hash);

  const ContactBook* contacts_;
  std::unordered_map<ServiceTag, Service> services_;
  flow::Ranking ranking_;
  std::vector<InstanceAddress> search_order_;
};

}  // namespace cowslip::segment
