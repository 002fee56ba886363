#include "cowslip/flow/admission.h"

#include <algorithm>

namespace cowslip::flow {
namespace {

/// Weight of a sample in the running mean of the service time.
constexpr int kSamplesPerMean = 32;
/// Service time of an upstream of which nothing is known.
constexpr std::chrono::milliseconds kFirstGuess{50};

}  // namespace

std::uint32_t Admission::usable_slots(TimePoint now) const {
  const auto age = now - started_;
  const auto ceiling = static_cast<std::uint32_t>(ceiling_);
  if (age >= limits_.slow_start) return ceiling;
  const auto share = std::chrono::duration<double>(age) /
                     std::chrono::duration<double>(limits_.slow_start);
  const auto slots = static_cast<std::uint32_t>(limits_.slots * share);
  return std::clamp<std::uint32_t>(slots, 1, ceiling);
}

std::uint32_t Admission::load(TimePoint now) {
  while (!promises_.empty() && promises_.front() <= now) promises_.pop_front();
  return in_progress_ + static_cast<std::uint32_t>(promises_.size());
}

void Admission::OnPromised(TimePoint now) {
  const auto promised = std::chrono::floor<std::chrono::microseconds>(now);
  promises_.push_back(promised + kPromiseTime);
}

void Admission::OnPromiseKept(TimePoint promised) {
  const auto expires =
      std::chrono::floor<std::chrono::microseconds>(promised) + kPromiseTime;
  const auto found = std::find(promises_.begin(), promises_.end(), expires);
  if (found != promises_.end()) promises_.erase(found);
}

Verdict Admission::Judge(TimePoint now) {
  const auto work = load(now);
  const auto slots = usable_slots(now);
  if (work < slots + limits_.patience) return Verdict::kAdmit;
  if (work < slots + limits_.max_queue) return Verdict::kPassOn;
  return Verdict::kShed;
}

Work Admission::OnStarted(TimePoint now) {
  const bool queued = in_progress_ >= limits_.slots;
  if (++in_progress_ == limits_.slots) busy_since_ = now;
  return {now, queued};
}

void Admission::OnFinished(const Work& work, TimePoint now) {
  if (in_progress_ >= limits_.slots) {
    Learn((now - busy_since_) * limits_.slots);
  } else if (!work.queued) {
    Learn(now - work.started);
  }
  constexpr double kGrowth = 1.0;
  ceiling_ = std::min<double>(limits_.slots, ceiling_ + kGrowth / ceiling_);
  OnAbandoned(now);
}

void Admission::OnAbandoned(TimePoint now) {
  if (in_progress_ > 0) --in_progress_;
  if (in_progress_ >= limits_.slots) busy_since_ = now;
}

void Admission::OnRefused() {
  const auto fewer = static_cast<double>(in_progress_) - 1;
  ceiling_ = std::clamp<double>(fewer, 1, ceiling_);
}

void Admission::Learn(Duration sample) {
  if (service_time_ == Duration{}) {
    service_time_ = sample;
  } else {
    service_time_ += (sample - service_time_) / kSamplesPerMean;
  }
}

Duration Admission::ExpectedWait(TimePoint now) {
  const auto work = load(now);
  const auto slots = usable_slots(now);
  if (work < slots) return {};
  const auto mean =
      service_time_ == Duration{} ? Duration(kFirstGuess) : service_time_;
  return mean * (work - slots + 1) / slots;
}

}  // namespace cowslip::flow
