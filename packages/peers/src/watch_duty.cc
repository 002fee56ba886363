#include "cowslip/peers/watch_duty.h"

#include "cowslip/peers/address_spread.h"

namespace cowslip::peers {

void WatcherElection::OnWatcherStatus(InstanceAddress watcher, bool watching,
                                      TimePoint now) {
  if (watching) {
    watchers_last_seen_[watcher] = now;
  } else {
    watchers_last_seen_.erase(watcher);
  }
}

bool WatcherElection::Update(TimePoint now) {
  const auto timeout = watch_time_ + kUpdateSlack;
  std::erase_if(watchers_last_seen_, [&](const auto& entry) {
    return now - entry.second > timeout;
  });
  if (watching_) {
    std::size_t lower_watchers = 0;
    for (const auto& [watcher, last_seen] : watchers_last_seen_) {
      if (watcher < self_) ++lower_watchers;
    }
    if (lower_watchers >= kTargetWatchers) watching_ = false;
    return watching_;
  }
  // Waits for one time-out after the start, in which every watcher is seen.
  if (watchers_last_seen_.size() >= kTargetWatchers ||
      now - started_ < timeout) {
    understaffed_ = false;
    return false;
  }
  if (!understaffed_) {
    understaffed_ = true;
    understaffed_since_ = now;
  }
  const auto delay = SpreadByAddress(kTakeoverSpread, self_);
  if (now - understaffed_since_ >= delay) {
    watching_ = true;
    understaffed_ = false;
  }
  return watching_;
}

}  // namespace cowslip::peers
