#include "cowslip/membership/upstream_health.h"

#include <algorithm>

namespace cowslip::membership {

void UpstreamHealth::Set(bool down, TimePoint now) {
  if (down_ == down) return;
  down_ = down;
  changed_ = now;
}

void UpstreamHealth::OnRefused(TimePoint now) {
  last_refused_ = now;
  first_quiet_probe_.reset();
  if (++refusals_ >= options_.refusal_threshold) Set(true, now);
}

void UpstreamHealth::OnAnswered(TimePoint now) {
  last_answered_ = now;
  refusals_ = 0;
  first_quiet_probe_.reset();
  Set(false, now);
}

void UpstreamHealth::OnHealthHint(bool healthy, TimePoint now) {
  hinted_down_ = !healthy;
  const bool answers =
      last_answered_ && now - *last_answered_ <= options_.answer_validity;
  const bool refuses = refusals_ >= options_.refusal_threshold;
  if (!answers && !refuses) Set(hinted_down_, now);
}

/// A process that listens and never answers gives no evidence but the lack of
/// refusals.
void UpstreamHealth::OnTick(TimePoint now) {
  const bool quiet =
      first_quiet_probe_ && now - *first_quiet_probe_ >= options_.recovery_time;
  if (!quiet || refusals_ == 0) return;
  refusals_ = 0;
  if (!hinted_down_) Set(false, now);
}

bool UpstreamHealth::TakeProbe(TimePoint now) {
  const bool answered =
      last_answered_ && now - *last_answered_ < options_.probe_period;
  const bool probed = last_probe_ && now - *last_probe_ < options_.probe_period;
  if (answered || probed) return false;
  last_probe_ = now;
  if (!first_quiet_probe_) first_quiet_probe_ = now;
  return true;
}

std::optional<UpstreamState> UpstreamHealth::TakeAnnouncement(TimePoint now) {
  if (down_ == announced_down_ || now - changed_ < options_.debounce) {
    return std::nullopt;
  }
  if (last_announced_ && now - *last_announced_ < interval_) {
    return std::nullopt;
  }
  const bool calm = !last_announced_ || now - *last_announced_ >=
                                            2 * options_.max_announce_interval;
  interval_ = calm ? options_.min_announce_interval
                   : std::min(2 * interval_, options_.max_announce_interval);
  last_announced_ = now;
  announced_down_ = down_;
  return down_ ? UpstreamState::kDown : UpstreamState::kActive;
}

}  // namespace cowslip::membership
