#pragma once

#include <map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership.h"

namespace cowslip::engine {

/// Schedules the hello of a balancer to the sidecars of all services, by which
/// they add the balancer to their tables. The hello is a probe: each
/// incarnation of a sidecar is probed until it answers, at most kMaxTries
/// times.
class HelloScheduler {
 public:
  /// Probes sent to one incarnation that does not answer.
  static constexpr int kMaxTries = 5;
  /// Time without an answer after which a probe is repeated.
  static constexpr std::chrono::milliseconds kRetryInterval{250};
  /// Upper limit of the probes sent by one call of SendDue().
  static constexpr std::size_t kMaxPerCall = 32;

  /// Adds the upstreams that are new and removes those that have left.
  /// @param on_change called with the id of each upstream that is new, has
  ///     restarted or has left.
  template <typename OnChange>
  void OnView(const membership::View& view, const OnChange& on_change) {
    for (const auto id : Update(view)) on_change(id);
  }
  /// @return the service of an upstream of the latest view; ServiceId{} if the
  ///     view does not have the upstream.
  ServiceId ServiceOf(UpstreamId id) const;
  /// Records that a sidecar has answered, which ends its probes.
  void OnAnswered(UpstreamId id);

  /// Sends the probes that are due.
  /// @param send_probe called with the service and the upstream of each probe.
  template <typename SendProbe>
  void SendDue(const membership::View& view, TimePoint now,
               const SendProbe& send_probe) {
    std::size_t sent = 0;
    for (auto it = pending_.begin();
         it != pending_.end() && sent < kMaxPerCall;) {
      auto& [id, pending] = *it;
      if (pending.due > now) {
        ++it;
        continue;
      }
      const auto* service = view.Find(pending.service);
      const auto* upstream = service == nullptr ? nullptr : service->Find(id);
      if (upstream == nullptr || pending.tries == kMaxTries) {
        it = pending_.erase(it);
        continue;
      }
      ++pending.tries;
      pending.due = now + kRetryInterval;
      ++sent;
      send_probe(*service, *upstream);
      ++it;
    }
  }

 private:
  struct Pending {
    ServiceId service{};
    TimePoint due{};
    int tries = 0;
  };

  struct Known {
    Incarnation incarnation{};
    ServiceId service{};
  };

  std::vector<UpstreamId> Update(const membership::View& view);

  std::map<UpstreamId, Known> known_;
  std::map<UpstreamId, Pending> pending_;
};

}  // namespace cowslip::engine
