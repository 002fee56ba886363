#include "cowslip/segment/sidecar.h"

namespace cowslip::segment {

std::string_view Sidecar::ClosedReason() const {
  if (data_center_ != DataCenterStatus::kOpen) return ToString(data_center_);
  return stopping_ ? "stopping" : ToString(upstream_state_.state());
}

void Sidecar::CountRefusal(SegmentFrame& frame) {
  if (data_center_ != DataCenterStatus::kEvacuated) return;
  ++stats_.evacuated;
  ++frame.asked;
}

}  // namespace cowslip::segment
