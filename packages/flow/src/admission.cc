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

std::uint32_t AdmissionController::usable_slots(TimePoint now) const {
  const auto age = now - started_;
  const auto slot_limit = static_cast<std::uint32_t>(slot_limit_);
  if (age >= limits_.slow_start) return slot_limit;
  const auto share = std::chrono::duration<double>(age) /
                     std::chrono::duration<double>(limits_.slow_start);
  const auto slots = static_cast<std::uint32_t>(limits_.slots * share);
  return std::clamp<std::uint32_t>(slots, 1, slot_limit);
}

std::uint32_t AdmissionController::load(TimePoint now) {
  while (!reserved_.empty() && reserved_.front() <= now) reserved_.pop_front();
  return in_progress_ + static_cast<std::uint32_t>(reserved_.size());
}

void AdmissionController::OnReserved(TimePoint now) {
  const auto reserved_at = std::chrono::floor<std::chrono::microseconds>(now);
  reserved_.push_back(reserved_at + kReservationTime);
}

void AdmissionController::OnReservationUsed(TimePoint reserved_at) {
  const auto expires =
      std::chrono::floor<std::chrono::microseconds>(reserved_at) +
      kReservationTime;
  const auto found = std::find(reserved_.begin(), reserved_.end(), expires);
  if (found != reserved_.end()) reserved_.erase(found);
}

AdmissionDecision AdmissionController::Decide(TimePoint now) {
  const auto total = load(now);
  const auto slots = usable_slots(now);
  if (total < slots + limits_.offload_after) return AdmissionDecision::kAdmit;
  if (total < slots + limits_.max_queue) return AdmissionDecision::kOffload;
  return AdmissionDecision::kShed;
}

RequestTiming AdmissionController::OnStarted(TimePoint now) {
  const bool queued = in_progress_ >= limits_.slots;
  if (++in_progress_ == limits_.slots) busy_since_ = now;
  return {now, queued};
}

void AdmissionController::OnFinished(const RequestTiming& timing,
                                     TimePoint now) {
  if (in_progress_ >= limits_.slots) {
    AddSample((now - busy_since_) * limits_.slots);
  } else if (!timing.queued) {
    AddSample(now - timing.started);
  }
  constexpr double kGrowth = 1.0;
  slot_limit_ =
      std::min<double>(limits_.slots, slot_limit_ + kGrowth / slot_limit_);
  OnAbandoned(now);
}

void AdmissionController::OnAbandoned(TimePoint now) {
  if (in_progress_ > 0) --in_progress_;
  if (in_progress_ >= limits_.slots) busy_since_ = now;
}

void AdmissionController::OnRefused() {
  const auto fewer = static_cast<double>(in_progress_) - 1;
  slot_limit_ = std::clamp<double>(fewer, 1, slot_limit_);
}

void AdmissionController::AddSample(Duration sample) {
  if (service_time_ == Duration{}) {
    service_time_ = sample;
  } else {
    service_time_ += (sample - service_time_) / kSamplesPerMean;
  }
}

Duration AdmissionController::ExpectedWait(TimePoint now,
                                           std::uint32_t claims) {
  const auto total = load(now);
  const auto slots = usable_slots(now);
  if (total < slots) return {};
  const auto mean = service_time_ == Duration{} ? Duration(kInitialServiceTime)
                                                : service_time_;
  return mean * (total + claims - slots + 1) / slots;
}

}  // namespace cowslip::flow
