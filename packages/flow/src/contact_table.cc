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
  if (now - *state.unanswered_since < options_.probe_after) return false;
  if (state.probes == 0) suspects_.push_back(upstream);
  return TakeProbe(state, now);
}

void FailureDetector::OnResponse(UpstreamId upstream) {
  const auto found = states_.find(upstream);
  if (found != states_.end()) found->second = {};
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
    if (state.probes == 0 || state.probes > options_.max_probes) return true;
    if (TakeProbe(state, now)) due_.push_back(id);
    return false;
  });
  return due_;
}

}  // namespace cowslip::flow
