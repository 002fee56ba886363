// The part of Balancer that follows members that fail or are slow beside their
// peers.
#include "cowslip/segment/balancer.h"

namespace cowslip::segment {
namespace {

/// Interval at which reports are checked for their age.
constexpr std::chrono::seconds kExpiryInterval{1};
/// Probes to outliers in one tick, so that they don't grow with their number.
constexpr std::size_t kMaxOutlierProbes = 2;

}  // namespace

/// Not limited by the retry budget, so that a member's being an outlier is
/// never the reason of a refusal. A SYN costs at most four frames more than
/// without outliers, however many there are.
bool Balancer::OfferToOutliers(PendingPacket& syn, const Ack& ack,
                               TimePoint now, Outbox& out) {
  // Of a forced choice, only the member that was chosen has been asked.
  if (syn.offered_to_outliers || syn.frame.forced) return false;
  auto candidates = syn.frame;
  if (!members_.ListOutliers(HashFlow(syn.segment.flow), now, candidates)) {
    return false;
  }
  ++stats_.offered_to_outliers;
  syn.offered_to_outliers = true;
  syn.others_overloaded = ack.overloaded;
  syn.others_evacuated = ack.evacuated;
  syn.frame = candidates;
  syn.next_hop = 0;
  SendToCandidates(syn, now, out);
  return true;
}

void Balancer::UpdateOutliers(TimePoint now, Outbox& out) {
  if (now - outliers_expired_at_ >= kExpiryInterval) {
    outliers_expired_at_ = now;
    outliers_.ExpireReports(now);
  }
  for (const auto member :
       outliers_.TakeReportRequests(kMaxOutlierProbes, now)) {
    out.SendProbe(static_cast<InstanceAddress>(member));
  }
  for (const auto& change : outliers_.TakeChanges()) {
    observer_->OnOutlierChange(change);
  }
}

}  // namespace cowslip::segment
