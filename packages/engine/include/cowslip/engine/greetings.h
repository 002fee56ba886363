#pragma once

#include <map>
#include <vector>

#include "cowslip/base.h"
#include "cowslip/membership.h"

namespace cowslip::engine {

/// Makes a balancer known to every sidecar of its services: each incarnation is
/// probed until it answers, at most kMaxTries times.
class Greetings {
 public:
  static constexpr int kMaxTries = 5;
  static constexpr std::chrono::milliseconds kRetry{250};
  /// Greetings sent per call of Due().
  static constexpr std::size_t kBatch = 32;

  /// Adds the upstreams that are new, and forgets those that have left.
  /// @param on_change called with each upstream that is new, has restarted or
  ///     has left.
  template <typename OnChange>
  void OnView(const membership::View& view, const OnChange& on_change) {
    for (const auto id : Update(view)) on_change(id);
  }
  /// @return the service of an upstream in the view, or no valid id.
  ServiceId ServiceOf(UpstreamId id) const;
  /// Notes that a sidecar has answered.
  void OnHeard(UpstreamId id);

  /// @param greet called with each upstream that is due.
  template <typename Greet>
  void Due(const membership::View& view, TimePoint now, const Greet& greet) {
    std::size_t sent = 0;
    for (auto place = pending_.begin();
         place != pending_.end() && sent < kBatch;) {
      auto& [id, pending] = *place;
      if (pending.due > now) {
        ++place;
        continue;
      }
      const auto* service = view.Find(pending.service);
      const auto* upstream = service == nullptr ? nullptr : service->Find(id);
      if (upstream == nullptr || pending.tries == kMaxTries) {
        place = pending_.erase(place);
        continue;
      }
      ++pending.tries;
      pending.due = now + kRetry;
      ++sent;
      greet(*service, *upstream);
      ++place;
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
