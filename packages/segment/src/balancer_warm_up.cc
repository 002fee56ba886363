// The part of Balancer that tells sidecars the limit of upstreams that warm up.
#include "cowslip/segment/balancer.h"

namespace cowslip::segment {

/// Sidecars have no copy of the configuration. All frames carry the limit, also
/// those of open flows: a sidecar that has just started may get no others while
/// its upstream warms up.
void Balancer::AddWarmUpLimit(const Segment& segment,
                              SegmentFrame& frame) const {
  const auto limit = routes_->WarmUpLimit(frame.service);
  if (!limit) return;
  if (members_.AllReadWarmUpLimit(frame.service, segment.is_syn())) {
    frame.warm_up_limit = limit;
  }
}

}  // namespace cowslip::segment
