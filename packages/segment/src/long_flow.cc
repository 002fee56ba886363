#include "cowslip/segment/long_flow.h"

#include <algorithm>

namespace cowslip::segment {
namespace {

/// Candidates that compare: those that placement puts first. Each costs a frame
/// and an acknowledgement, once for all requests of the flow.
constexpr std::uint8_t kComparing = 4;

}  // namespace

Admission CompareLongFlow(LoadEstimator& load, const Endpoint& service,
                          TimePoint now, Admission admission,
                          AdmissionState& state, SegmentFrame& frame) {
  if (frame.forced) return admission;
  const auto wait = load.WaitOfLongFlow(now, service);
  if (!wait) return admission;
  const bool is_candidate = admission != Admission::kTooLate;
  if (is_candidate) state.answer_time = *wait;
  const bool has_candidate = is_candidate || frame.best_wait_us != UINT32_MAX;
  if (has_candidate && frame.place + 1 >= kComparing) {
    frame.hop_count = std::min<std::uint8_t>(frame.hop_count, frame.place + 1);
  }
  return is_candidate ? Admission::kCandidate : admission;
}

}  // namespace cowslip::segment
