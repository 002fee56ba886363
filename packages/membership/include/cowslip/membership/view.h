#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/ticket.h"

namespace cowslip::membership {

/// A service and its upstreams as one process knows them.
struct ServiceView {
  ticket::Service service;
  std::vector<Upstream> upstreams;  ///< Sorted by id.

  const Upstream* Find(UpstreamId id) const;
};

/// An immutable picture of the ticket in force and of all upstreams.
///
/// The control thread builds views; traffic threads share them read-only.
class View {
 public:
  /// @param epoch rises with every view that a process builds.
  /// @param dead upstreams whose death was recorded.
  View(std::uint64_t epoch, const ticket::TicketState& state,
       std::vector<Upstream> upstreams, const std::vector<Upstream>& dead = {});

  std::uint64_t epoch() const { return epoch_; }
  TicketNumber ticket() const { return ticket_; }
  /// @return whether the death of this incarnation was recorded.
  bool IsRecordedDead(UpstreamId id, Incarnation incarnation) const;
  const ServiceView* Find(ServiceId id) const;
  const ServiceView* FindAddress(const Endpoint& address) const;
  /// Looks through all services.
  const Upstream* FindMember(UpstreamId id) const;
  const std::map<ServiceId, std::shared_ptr<const ServiceView>>& services()
      const {
    return services_;
  }

 private:
  struct EndpointHash {
    std::size_t operator()(const Endpoint& endpoint) const;
  };

  std::uint64_t epoch_;
  TicketNumber ticket_;
  std::unordered_map<UpstreamId, Incarnation> dead_;
  std::map<ServiceId, std::shared_ptr<const ServiceView>> services_;
  std::unordered_map<Endpoint, const ServiceView*, EndpointHash> by_address_;
};

using ViewPtr = std::shared_ptr<const View>;

}  // namespace cowslip::membership
