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

Admission DecideScheduledAdmission(const scheduling::AnswerForecast& forecast,
                                   bool has_free_slot) {
  if (has_free_slot) {
    // Another upstream may answer in time. A late answer takes the slot from
    // nobody, and only a request that is served corrects a wrong estimate.
    return forecast.in_time ? Admission::kAccept : Admission::kCandidate;
  }
  const bool is_of_use =
      forecast.in_time || (forecast.before_limit && !forecast.makes_late);
  return is_of_use && !forecast.displaces_only_more_urgent
             ? Admission::kCandidate
             : Admission::kTooLate;
}

}  // namespace cowslip::segment
