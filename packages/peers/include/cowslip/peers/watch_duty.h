#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// Watcher election: decides whether this balancer holds a watch on the store.
///
/// A few balancers watch the store and notify the others, so that the number of
/// calls to the store doesn't grow with the number of balancers. It does no
/// harm if there are more watchers for a short time.
class WatcherElection {
 public:
  /// Two, so that no change is missed if one of them is cut off.
  static constexpr std::size_t kTargetWatchers = 2;
  /// Time that the response to a watch may take beyond the length of the watch.
  static constexpr std::chrono::milliseconds kResponseSlack{300};
  /// Time that an update of a watcher may take beyond the length of its watch.
  static constexpr std::chrono::milliseconds kUpdateSlack{700};
  /// Time over which the takeovers of balancers are spread, so that not all of
  /// them start to watch at once.
  static constexpr std::chrono::milliseconds kTakeoverSpread{300};

  /// @param watch_time length of a watch. The store responds after this time at
  /// the latest, and the watcher then notifies all balancers.
  WatcherElection(InstanceAddress self, std::chrono::milliseconds watch_time,
                  TimePoint started)
      : self_(self), watch_time_(watch_time), started_(started) {}

  /// Another balancer has sent whether it is a reliable watcher.
  void OnWatcherStatus(InstanceAddress watcher, bool watching, TimePoint now);
  /// Updates the decision.
  /// @return whether to watch now.
  bool Update(TimePoint now);
  bool watching() const { return watching_; }

  /// The store has responded to a watch or read of this balancer.
  void OnStoreResponse(TimePoint now) { last_store_response_ = now; }
  /// A call of this balancer to the store has failed.
  void OnStoreFailure() { last_store_response_.reset(); }
  /// @return whether other balancers may rely on this balancer's watch. A
  /// watcher that is cut off from the store keeps trying but doesn't count as a
  /// watcher.
  bool IsReliable(TimePoint now) const {
    return watching_ && last_store_response_ &&
           now - *last_store_response_ < watch_time_ + kResponseSlack;
  }

 private:
  InstanceAddress self_;
  std::chrono::milliseconds watch_time_;
  TimePoint started_;
  bool watching_ = false;
  std::optional<TimePoint> last_store_response_;
  std::map<InstanceAddress, TimePoint> watchers_last_seen_;
  /// Since when there have been too few watchers.
  TimePoint understaffed_since_{};
  bool understaffed_ = false;
};

}  // namespace cowslip::peers
