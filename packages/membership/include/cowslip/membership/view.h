#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/ticket.h"

namespace cowslip::membership {

/// A service and its upstreams in a View.
struct ServiceView {
  ticket::Service service;
  std::vector<Upstream> upstreams;  ///< Sorted by id.

  /// @return nullptr if the service has no such upstream.
  const Upstream* Find(UpstreamId id) const;
};

/// Immutable snapshot of the services of the ticket in force and of their
/// upstreams, as known to one process.
///
/// The control thread builds a new view after each change; the traffic threads
/// share it read-only.
class View {
 public:
  /// @param epoch number of the view; a process increments it with every view
  ///     that it builds.
  /// @param dead upstreams whose death is recorded; they are not among the
  ///     members.
  View(std::uint64_t epoch, const ticket::TicketState& state,
       std::vector<Upstream> upstreams, const std::vector<Upstream>& dead = {});

  std::uint64_t epoch() const { return epoch_; }
  TicketNumber ticket() const { return ticket_; }
  /// @return whether the death of this incarnation is recorded.
  bool IsRecordedDead(UpstreamId id, Incarnation incarnation) const;
  /// @return nullptr if there is no such service.
  const ServiceView* Find(ServiceId id) const;
  /// @return the service with this address, nullptr if there is none.
  const ServiceView* FindAddress(const Endpoint& address) const;
  /// @return the upstream, searched for in all services, or nullptr.
  const Upstream* FindMember(UpstreamId id) const;
  /// @return the number of upstreams that accept new flows.
  std::size_t CountActive() const;
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

/// A view that several threads share.
using ViewPtr = std::shared_ptr<const View>;

}  // namespace cowslip::membership
