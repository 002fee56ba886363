#include "cowslip/segment/admission.h"

namespace cowslip::segment {

Admission DecideAdmission(const AdmissionState& state,
                          std::optional<std::chrono::milliseconds> time_left) {
  const bool in_time = !time_left || state.answer_time <= *time_left;
  if (state.has_free_slot) {
    // A late answer takes the slot from nobody and is better than none.
    return in_time ? Admission::kAccept : Admission::kCandidate;
  }
  return state.can_queue && in_time ? Admission::kCandidate
                                    : Admission::kTooLate;
}

}  // namespace cowslip::segment
