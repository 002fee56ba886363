#pragma once

#include "cowslip/segment/admission.h"
#include "cowslip/segment/frame.h"
#include "cowslip/segment/load_estimator.h"

namespace cowslip::segment {

/// Admission of a SYN whose flow is likely to carry many requests. The first
/// four candidates compare what their open flows leave over, and the one with
/// the most gets the flow, in place of the first one with a free slot.
///
/// Load pattern: long-lived flows that are opened at about the same time, when
/// the load at that moment doesn't show yet what each of them will bring.
///
/// @param admission as decided for a flow of one request.
/// @param state its answer time is replaced by the wait to compare.
/// @param frame shortened at the last candidate that compares.
/// @return `admission`, or kCandidate for a flow that takes part.
Admission CompareLongFlow(LoadEstimator& load, const Endpoint& service,
                          TimePoint now, Admission admission,
                          AdmissionState& state, SegmentFrame& frame);

}  // namespace cowslip::segment
