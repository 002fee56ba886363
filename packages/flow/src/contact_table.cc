#include "cowslip/flow/contact_table.h"

namespace cowslip::flow {

bool FailureDetector::TakeProbe(State& state, TimePoint now) const {
  if (state.probes > 0 && now - state.last_probe < options_.probe_interval) {
    return false;
  }
  state.last_probe = now;
  ++state.probes;
  return true;
}

bool FailureDetector::OnSent(UpstreamId upstream, TimePoint now) {
  auto& state = states_[upstream];
  if (!state.unanswered_since) state.unanswered_since = now;
  const bool is_late = now - *state.unanswered_since >= options_.probe_after;
  const bool is_suspect = (is_late || options_.probe_single_frames) &&
                          state.probes <= options_.max_probes;
  if (is_suspect && !state.suspected) {
    state.suspected = true;
    suspects_.push_back(upstream);
  }
  if (!is_late) return false;
  return TakeProbe(state, now);
}

void FailureDetector::OnResponse(UpstreamId upstream) {
  const auto found = states_.find(upstream);
  if (found == states_.end()) return;
  const bool suspected = found->second.suspected;
  found->second = {};
  found->second.suspected = suspected;
}

bool FailureDetector::IsUnresponsive(UpstreamId upstream) const {
  const auto found = states_.find(upstream);
  return found != states_.end() && found->second.probes > options_.max_probes;
}

const std::vector<UpstreamId>& FailureDetector::TakeDueProbes(TimePoint now) {
  due_.clear();
  std::erase_if(suspects_, [&](UpstreamId id) {
    const auto found = states_.find(id);
    if (found == states_.end()) return true;
    auto& state = found->second;
    if (!state.unanswered_since || state.probes > options_.max_probes) {
      state.suspected = false;
      return true;
    }
    const bool is_late = now - *state.unanswered_since >= options_.probe_after;
    if (is_late && TakeProbe(state, now)) due_.push_back(id);
    return false;
  });
  return due_;
}

}  // namespace cowslip::flow
