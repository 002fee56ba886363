#include "cowslip/flow/admission.h"

#include <algorithm>

namespace cowslip::flow {

std::uint32_t Admission::usable_slots(TimePoint now) const {
  const auto age = now - started_;
  if (age >= limits_.slow_start) return limits_.slots;
  const auto share = std::chrono::duration<double>(age) /
                     std::chrono::duration<double>(limits_.slow_start);
  const auto slots = static_cast<std::uint32_t>(limits_.slots * share);
  return std::max<std::uint32_t>(slots, 1);
}

std::uint32_t Admission::queued(TimePoint now) const {
  const auto slots = usable_slots(now);
  return in_progress_ > slots ? in_progress_ - slots : 0;
}

Verdict Admission::Judge(TimePoint now) const {
  const auto slots = usable_slots(now);
  if (in_progress_ < slots) return Verdict::kAdmit;
  if (in_progress_ < slots + limits_.max_queue) return Verdict::kPassOn;
  return Verdict::kShed;
}

}  // namespace cowslip::flow
