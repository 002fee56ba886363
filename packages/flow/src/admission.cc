#include "cowslip/flow/admission.h"

#include <algorithm>

namespace cowslip::flow {
namespace {

/// Number of samples over which the service time is averaged: the weight of a
/// sample is the inverse.
constexpr int kSamplesPerMean = 32;
/// Service time assumed before the first sample.
constexpr std::chrono::milliseconds kInitialServiceTime{50};

}  // namespace

std::uint32_t Admission::usable_slots(TimePoint now) const {
  const auto age = now - started_;
  const auto slot_limit = static_cast<std::uint32_t>(slot_limit_);
  if (age >= limits_.slow_start) return slot_limit;
  const auto share = std::chrono::duration<double>(age) /
                     std::chrono::duration<double>(limits_.slow_start);
  const auto slots = static_cast<std::uint32_t>(limits_.slots * share);
  return std::clamp<std::uint32_t>(slots, 1, slot_limit);
}

std::uint32_t Admission::load(TimePoint now) {
  while (!reserved_.empty() && reserved_.front() <= now) reserved_.pop_front();
  return in_progress_ + static_cast<std::uint32_t>(reserved_.size());
}

void Admission::OnPromised(TimePoint now) {
  const auto reserved_at = std::chrono::floor<std::chrono::microseconds>(now);
  reserved_.push_back(reserved_at + kPromiseTime);
}

void Admission::OnPromiseKept(TimePoint reserved_at) {
  const auto expires =
      std::chrono::floor<std::chrono::microseconds>(reserved_at) + kPromiseTime;
  const auto found = std::find(reserved_.begin(), reserved_.end(), expires);
  if (found != reserved_.end()) reserved_.erase(found);
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
    AddSample((now - busy_since_) * limits_.slots);
  } else if (!work.queued) {
    AddSample(now - work.started);
  }
  constexpr double kGrowth = 1.0;
  slot_limit_ =
      std::min<double>(limits_.slots, slot_limit_ + kGrowth / slot_limit_);
  OnAbandoned(now);
}

void Admission::OnAbandoned(TimePoint now) {
  if (in_progress_ > 0) --in_progress_;
  if (in_progress_ >= limits_.slots) busy_since_ = now;
}

void Admission::OnRefused() {
  const auto fewer = static_cast<double>(in_progress_) - 1;
  slot_limit_ = std::clamp<double>(fewer, 1, slot_limit_);
}

void Admission::AddSample(Duration sample) {
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
  const auto mean = service_time_ == Duration{} ? Duration(kInitialServiceTime)
                                                : service_time_;
  return mean * (work - slots + 1) / slots;
}

}  // namespace cowslip::flow
