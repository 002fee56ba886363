#include "cowslip/segment/syn_refusal.h"

namespace cowslip::segment {

bool SynRefusal::HasRunNowhere(const PendingPacket& syn, bool classified) {
  // An earlier copy may have been accepted elsewhere.
  if (syn.segment.ack != 0) return false;
  // The end of the list was reported for each transmission, unless one lacks
  // its acknowledgement.
  return classified ? !syn.unacknowledged : syn.resends == 0;
}

SynOutcome SynRefusal::Decide(const PendingPacket& syn, const Ack& ack,
                              bool classified, bool has_capacity,
                              TimePoint now) {
  if (!HasRunNowhere(syn, classified)) return SynOutcome::kWait;
  if (ack.evacuated) return SynOutcome::kEvacuated;
  // Members that accept no connections, as they are draining or starting, say
  // nothing about the time limit.
  if (!ack.overloaded) return SynOutcome::kWait;
  // Only the member that was chosen has been asked.
  if (syn.frame.forced) return SynOutcome::kWait;
  const auto& flow = syn.segment.flow;
  if (classified && has_capacity) {
    if (!syn.was_forced) return SynOutcome::kForce;
    const bool is_protected =
        refused_callers_.WasRefused(flow, RefusedCallers::kProtection, now);
    if (is_protected) return SynOutcome::kWait;
  }
  if (classified) refused_callers_.Add(flow, now);
  return SynOutcome::kRefuse;
}

}  // namespace cowslip::segment
