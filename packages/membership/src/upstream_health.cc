#include "cowslip/membership/upstream_health.h"

#include <algorithm>

namespace cowslip::membership {

void UpstreamHealth::SetDown(bool down, TimePoint now) {
  if (down_ == down) return;
  down_ = down;
  changed_at_ = now;
}

void UpstreamHealth::OnRefused(TimePoint now) {
  last_refused_at_ = now;
  first_open_probe_.reset();
  if (++refusals_ >= options_.refusal_threshold) SetDown(true, now);
}

void UpstreamHealth::OnAnswered(TimePoint now) {
  last_answered_ = now;
  refusals_ = 0;
  first_open_probe_.reset();
  SetDown(false, now);
}

void UpstreamHealth::OnHealthHint(bool healthy, TimePoint now) {
  hint_is_down_ = !healthy;
  const bool recent_answer =
      last_answered_ && now - *last_answered_ <= options_.answer_validity;
  const bool recent_refusals = refusals_ >= options_.refusal_threshold;
  if (!recent_answer && !recent_refusals) SetDown(hint_is_down_, now);
}

/// A process that listens but never answers can only be recognised as up by the
/// absence of refusals.
void UpstreamHealth::OnTick(TimePoint now) {
  const bool no_refusal =
      first_open_probe_ && now - *first_open_probe_ >= options_.recovery_time;
  if (!no_refusal || refusals_ == 0) return;
  refusals_ = 0;
  if (!hint_is_down_) SetDown(false, now);
}

bool UpstreamHealth::TakeProbe(TimePoint now) {
  const bool answered =
      last_answered_ && now - *last_answered_ < options_.probe_period;
  const bool probed = last_probe_ && now - *last_probe_ < options_.probe_period;
  if (answered || probed) return false;
  last_probe_ = now;
  if (!first_open_probe_) first_open_probe_ = now;
  return true;
}

std::optional<UpstreamState> UpstreamHealth::TakeAnnouncement(TimePoint now) {
  if (down_ == announced_down_ || now - changed_at_ < options_.debounce) {
    return std::nullopt;
  }
  if (last_announced_ && now - *last_announced_ < announce_interval_) {
    return std::nullopt;
  }
  const bool stable =
      !last_announced_ ||
      now - *last_announced_ >= 2 * options_.max_announce_interval;
  announce_interval_ =
      stable ? options_.min_announce_interval
             : std::min(2 * announce_interval_, options_.max_announce_interval);
  last_announced_ = now;
  announced_down_ = down_;
  return down_ ? UpstreamState::kDown : UpstreamState::kActive;
}

}  // namespace cowslip::membership
