#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "cowslip/base.h"
#include "cowslip/peers/peer_entry.h"

namespace cowslip::peers {

/// Decides whether this balancer holds a watch on the store.
///
/// A few balancers watch and tell the others, so that calls to the store don't
/// grow with the fleet. Nothing breaks when more of them do for a moment.
class WatcherElection {
 public:
  /// Two, so that one that is cut off hides nothing.
  static constexpr std::size_t kWatchers = 2;
  /// What the answer to a watch may take beyond its length.
  static constexpr std::chrono::milliseconds kAnswerSlack{300};
  /// What a watcher's news may take beyond the length of its watch.
  static constexpr std::chrono::milliseconds kNewsSlack{700};
  /// Spread over which balancers step in, so that not all do at once.
  static constexpr std::chrono::milliseconds kStepInSpread{300};

  /// @param watch_time a watcher tells all balancers each time the store
  ///     answers, which is this often.
  WatcherElection(InstanceAddress self, std::chrono::milliseconds watch_time,
                  TimePoint started)
      : self_(self), watch_time_(watch_time), started_(started) {}

  void OnWatcherStatus(InstanceAddress watcher, bool watching, TimePoint now);
  /// @return whether to watch now.
  bool Update(TimePoint now);
  bool watching() const { return watching_; }

  /// The store answered this balancer's watch or read.
  void OnStoreResponse(TimePoint now) { verified_ = now; }
  /// A call of this balancer to the store failed.
  void OnStoreFailure() { verified_.reset(); }
  /// @return whether others may rely on this balancer's watch: one that is cut
  ///     off from the store goes on trying, but no longer counts as a watcher.
  bool IsReliable(TimePoint now) const {
    return watching_ && verified_ &&
           now - *verified_ < watch_time_ + kAnswerSlack;
  }

 private:
  InstanceAddress self_;
  std::chrono::milliseconds watch_time_;
  TimePoint started_;
  bool watching_ = false;
  std::optional<TimePoint> verified_;
  std::map<InstanceAddress, TimePoint> heard_;
  TimePoint short_since_{};  ///< Since when there are too few watchers.
  bool short_ = false;
};

}  // namespace cowslip::peers
