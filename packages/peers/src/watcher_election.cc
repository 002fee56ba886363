#include "cowslip/peers/watcher_election.h"

namespace cowslip::peers {

void WatcherElection::OnWatcherStatus(InstanceAddress watcher, bool watching,
                                      TimePoint now) {
  if (watching) {
    heard_[watcher] = now;
  } else {
    heard_.erase(watcher);
  }
}

bool WatcherElection::Update(TimePoint now) {
  const auto silence = watch_time_ + kNewsSlack;
  std::erase_if(
      heard_, [&](const auto& entry) { return now - entry.second > silence; });
  if (watching_) {
    std::size_t before = 0;
    for (const auto& [watcher, heard] : heard_) {
      if (watcher < self_) ++before;
    }
    if (before >= kWatchers) watching_ = false;
    return watching_;
  }
  // Whoever watches is heard within one silence after the start.
  if (heard_.size() >= kWatchers || now - started_ < silence) {
    short_ = false;
    return false;
  }
  if (!short_) {
    short_ = true;
    short_since_ = now;
  }
  // The low bits of the address spread the balancers over the time.
  const auto delay = kStepInSpread * (self_ % 8) / 8;
  if (now - short_since_ >= delay) {
    watching_ = true;
    short_ = false;
  }
  return watching_;
}

}  // namespace cowslip::peers
