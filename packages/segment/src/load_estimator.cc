#include "cowslip/segment/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace cowslip::segment {
namespace {

using Seconds = std::chrono::duration<double>;

/// Service time of an upstream that is warming up, relative to a warm one.
constexpr double kWarmupFactor = 1.6;
/// Time after which a request is not expected to be answered: its caller has
/// given up, and the upstream may have dropped it. It still holds a slot, but
/// its upstream is not avoided for its age any more.
constexpr std::chrono::seconds kMaxRequestTime{10};
/// What is added to the expected time in the queue for an admission. The
/// estimate is a mean, and a request that is answered shortly after its target
/// has cost as much as one that is answered in time. Without it, the goodput of
/// overload_test falls to 0.86 of the oracle's at twice the service time.
constexpr double kQueueMargin = 1.25;
/// Slots that count as left over at least, so that upstreams without any are
/// still ordered by speed.
constexpr double kMinSlots = 0.05;
/// Slots at which the wait of a long-lived flow equals the mean service time if
/// all are left over, so that sidecars of the previous build, which report the
/// time to the answer, are comparable.
constexpr double kUsualSlots = 2;

std::chrono::microseconds ToMicroseconds(double seconds) {
  constexpr double kMaxSeconds = 60;
  return std::chrono::microseconds(
      std::llround(std::min(seconds, kMaxSeconds) * 1e6));
}

}  // namespace

void LoadEstimator::Update(TimePoint now) {
  if (!requests_.empty() && now > last_update_) {
    model_.OnLoaded(now - last_update_);
  }
  last_update_ = now;
}

RequestStart LoadEstimator::OnStarted(TimePoint now, const Endpoint& service,
                                      std::uint32_t on_flow) {
  Update(now);
  flow_loads_.OnRequest(service, on_flow, now);
  RequestStart request;
  request.number = ++started_requests_;
  request.service = service;
  request.on_flow = on_flow;
  request.arrival = now;
  request.expected = AnswerTime(now, service);
  if (in_progress() >= slots_) {
    request.waits_for_departure = departures_ + in_progress() - slots_ + 1;
  }
  requests_.push_back(request);
  return request;
}

std::optional<TimePoint> LoadEstimator::ServiceStart(
    const RequestStart& request) const {
  const auto number = request.waits_for_departure;
  if (number == 0) return request.arrival;
  const bool known =
      number <= departures_ && departures_ - number < kDepartureHistory;
  if (!known) return std::nullopt;
  return departure_times_[number % kDepartureHistory];
}

bool LoadEstimator::Remove(const RequestStart& request, TimePoint now) {
  Update(now);
  const auto found = std::find_if(
      requests_.begin(), requests_.end(),
      [&](const auto& each) { return each.number == request.number; });
  // After Reset(), requests of the upstream's former process end late.
  if (found == requests_.end()) return false;
  requests_.erase(found);
  ++departures_;
  departure_times_[departures_ % kDepartureHistory] = now;
  return true;
}

void LoadEstimator::OnResponse(const RequestStart& request, TimePoint now) {
  const auto start = ServiceStart(request);
  if (!Remove(request, now) || request.arrival < resumed_at_) return;
  RecordError(request, now);
  if (!start) return;
  if (responses_ < kMeasuredResponses) ++responses_;
  model_.OnServed(request.service, now - *start);
  flow_loads_.OnServed(request.service, now - *start, now);
}

std::optional<Duration> LoadEstimator::TimeInSlot(const RequestStart& request,
                                                  TimePoint now) const {
  if (request.arrival < resumed_at_) return std::nullopt;
  const auto start = ServiceStart(request);
  if (!start) return std::nullopt;
  return now - *start;
}

void LoadEstimator::OnFlowEnded(const RequestStart& request, TimePoint now) {
  if (request.number <= last_before_reset_) return;
  flow_loads_.OnFlowEnded(request.service, request.on_flow, now);
}

void LoadEstimator::OnRequestAborted(const RequestStart& request,
                                     TimePoint now) {
  Remove(request, now);
}

void LoadEstimator::OnRequestAborted(TimePoint now) {
  if (!requests_.empty()) Remove(RequestStart(requests_.back()), now);
}

void LoadEstimator::Reset(TimePoint now) {
  Update(now);
  requests_.clear();
  expected_requests_ = 0;
  responses_ = 0;
  flow_loads_.Reset(now);
  last_before_reset_ = started_requests_;
}

void LoadEstimator::RecordError(const RequestStart& request, TimePoint now) {
  const double expected = Seconds(request.expected).count();
  const double measured = Seconds(now - request.arrival).count();
  const double share = measured_time_ == 0 ? 1 : kErrorShare;
  expected_time_ += share * (expected - expected_time_);
  measured_time_ += share * (measured - measured_time_);
}

double LoadEstimator::ErrorRatio() const {
  return measured_time_ == 0 ? 1 : expected_time_ / measured_time_;
}

double LoadEstimator::WarmupFactor() const {
  // The times of an upstream that has answered include its being cold.
  const bool is_assumed = warming_up_ && responses_ < kMeasuredResponses;
  return is_assumed ? kWarmupFactor : 1.0;
}

double LoadEstimator::ServiceSeconds(const Endpoint& service) const {
  return Seconds(model_.Mean(service)).count() * WarmupFactor();
}

double LoadEstimator::RemainingSeconds(const RequestStart& request,
                                       TimePoint now) const {
  const auto start = ServiceStart(request);
  if (!start) return ServiceSeconds(request.service);
  const auto elapsed = std::max(now - *start, Duration::zero());
  if (elapsed > kMaxRequestTime) return ServiceSeconds(request.service);
  return Seconds(model_.ExpectedRemaining(request.service, elapsed)).count() *
         WarmupFactor();
}

double LoadEstimator::OutstandingSeconds(TimePoint now) const {
  double work = expected_requests_ * ServiceSeconds({});
  for (const auto& request : requests_) work += RemainingSeconds(request, now);
  return work;
}

double LoadEstimator::SecondsUntilSlot(TimePoint now) const {
  if (HasFreeSlot()) return 0;
  // The requests that were sent to the upstream are at least as many as its
  // slots, so the heap has no more entries than these.
  slots_free_.assign(slots_, 0);
  const auto take_first_slot = [&](double work) {
    std::pop_heap(slots_free_.begin(), slots_free_.end(), std::greater<>());
    slots_free_.back() += work;
    std::push_heap(slots_free_.begin(), slots_free_.end(), std::greater<>());
  };
  for (const auto& request : requests_) {
    take_first_slot(RemainingSeconds(request, now));
  }
  for (std::uint32_t i = 0; i < expected_requests_; ++i) {
    take_first_slot(ServiceSeconds({}));
  }
  return slots_free_.front();
}

std::chrono::microseconds LoadEstimator::AnswerTime(
    TimePoint now, const Endpoint& service) const {
  return ToMicroseconds(kQueueMargin * SecondsUntilSlot(now) +
                        ServiceSeconds(service));
}

std::chrono::microseconds LoadEstimator::MeanServiceTime() const {
  return ToMicroseconds(ServiceSeconds({}));
}

std::chrono::microseconds LoadEstimator::ExpectedWait(
    TimePoint now, const Endpoint& service) const {
  return ToMicroseconds(OutstandingSeconds(now) / slots_ +
                        ServiceSeconds(service));
}

std::optional<std::chrono::microseconds> LoadEstimator::WaitOfLongFlow(
    TimePoint now, const Endpoint& service) {
  if (!flow_loads_.IsLongLived(service)) return std::nullopt;
  const double left =
      std::max(slots_ - flow_loads_.SlotsWithOneMore(service, now), kMinSlots);
  return ToMicroseconds(ServiceSeconds(service) * kUsualSlots / left);
}

std::chrono::microseconds LoadEstimator::OutstandingWork(TimePoint now) const {
  return ToMicroseconds(OutstandingSeconds(now));
}

}  // namespace cowslip::segment
