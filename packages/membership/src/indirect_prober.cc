#include "cowslip/membership/indirect_prober.h"

#include <algorithm>

namespace cowslip::membership {

bool IndirectProber::Reaches(const ConfirmationId& inquiry,
                             TimePoint now) const {
  const auto found = seen_.find(inquiry.subject);
  return found != seen_.end() &&
         found->second.incarnation >= inquiry.incarnation &&
         now - found->second.heard <= options_.evidence_max_age;
}

void IndirectProber::OnProbeRequest(const IndirectProbeRequest& question,
                                    const Upstream* subject, TimePoint now,
                                    LivenessEffects& effects) {
  if (Reaches(question.inquiry, now)) {
    effects.probe_replies.push_back({question.to, question.inquiry, true});
    return;
  }
  if (subject == nullptr || open_.size() >= kMaxOpen) return;
  effects.probes.push_back({subject->sidecar});
  open_.push_back({question, subject->sidecar, now + options_.retry_period,
                   now + options_.witness_timeout});
}

void IndirectProber::OnFrameReceived(UpstreamId id, Incarnation incarnation,
                                     TimePoint now, LivenessEffects& effects) {
  if (seen_.size() >= kMaxSeen && !seen_.contains(id)) {
    std::erase_if(seen_, [&](const auto& entry) {
      return now - entry.second.heard > options_.evidence_max_age;
    });
  }
  if (seen_.size() < kMaxSeen || seen_.contains(id)) {
    seen_[id] = {incarnation, now};
  }
  std::erase_if(open_, [&](const Open& open) {
    const auto& inquiry = open.question.inquiry;
    if (inquiry.subject != id || incarnation < inquiry.incarnation) {
      return false;
    }
    effects.probe_replies.push_back({open.question.to, inquiry, true});
    return true;
  });
}

void IndirectProber::OnTick(TimePoint now, bool credible,
                            LivenessEffects& effects) {
  std::erase_if(open_, [&](Open& open) {
    if (now >= open.deadline) {
      if (credible) {
        effects.probe_replies.push_back(
            {open.question.to, open.question.inquiry, false});
      }
      return true;
    }
    if (now >= open.next_probe) {
      effects.probes.push_back({open.subject});
      open.next_probe = now + options_.retry_period;
    }
    return false;
  });
}

}  // namespace cowslip::membership
