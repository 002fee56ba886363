#include "cowslip/membership/witness_desk.h"

#include <algorithm>

namespace cowslip::membership {

bool IndirectProber::HasRecentFrame(const ConfirmationId& confirmation_id,
                                    TimePoint now) const {
  const auto found = last_frames_.find(confirmation_id.subject);
  return found != last_frames_.end() &&
         found->second.incarnation >= confirmation_id.incarnation &&
         now - found->second.received_at <= options_.evidence_max_age;
}

void IndirectProber::OnProbeRequest(const IndirectProbeRequest& request,
                                    const Upstream* subject, TimePoint now,
                                    LivenessEffects& effects) {
  if (HasRecentFrame(request.inquiry, now)) {
    effects.probe_replies.push_back({request.to, request.inquiry, true});
    return;
  }
  if (subject == nullptr || pending_.size() >= kMaxPending) return;
  effects.probes.push_back({subject->sidecar});
  pending_.push_back({request, subject->sidecar, now + options_.retry_period,
                      now + options_.witness_timeout});
}

void IndirectProber::OnFrameReceived(UpstreamId id, Incarnation incarnation,
                                     TimePoint now, LivenessEffects& effects) {
  if (last_frames_.size() >= kMaxLastFrames && !last_frames_.contains(id)) {
    std::erase_if(last_frames_, [&](const auto& entry) {
      return now - entry.second.received_at > options_.evidence_max_age;
    });
  }
  if (last_frames_.size() < kMaxLastFrames || last_frames_.contains(id)) {
    last_frames_[id] = {incarnation, now};
  }
  std::erase_if(pending_, [&](const PendingProbe& pending) {
    const auto& confirmation_id = pending.request.inquiry;
    if (confirmation_id.subject != id ||
        incarnation < confirmation_id.incarnation) {
      return false;
    }
    effects.probe_replies.push_back(
        {pending.request.to, confirmation_id, true});
    return true;
  });
}

void IndirectProber::OnTick(TimePoint now, bool credible,
                            LivenessEffects& effects) {
  std::erase_if(pending_, [&](PendingProbe& pending) {
    if (now >= pending.deadline) {
      if (credible) {
        effects.probe_replies.push_back(
            {pending.request.to, pending.request.inquiry, false});
      }
      return true;
    }
    if (now >= pending.next_probe) {
      effects.probes.push_back({pending.subject});
      pending.next_probe = now + options_.retry_period;
    }
    return false;
  });
}

}  // namespace cowslip::membership
