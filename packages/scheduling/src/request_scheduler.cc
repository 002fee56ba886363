#include "cowslip/scheduling/request_scheduler.h"

#include <algorithm>
#include <utility>

namespace cowslip::scheduling {

bool RequestScheduler::IsWaiting(const FlowKey& flow) const {
  const auto found = queue_.find(flow);
  return found != queue_.end() && !found->second.is_announced();
}

RequestScheduler::Queue::iterator RequestScheduler::Erase(
    Queue::iterator entry) {
  if (entry->second.is_announced()) {
    --announced_;
  } else {
    bytes_ -= SizeOf(entry->second);
  }
  return queue_.erase(entry);
}

void RequestScheduler::Announce(const FlowKey& flow, const RequestTerms& terms,
                                TimePoint since, TimePoint now) {
  if (queue_.size() >= kMaxRequests) return;
  QueuedRequest request{.flow = flow,
                        .terms = terms,
                        .since = since,
                        .arrival = now,
                        .packets = {}};
  if (queue_.try_emplace(flow, std::move(request)).second) ++announced_;
}

bool RequestScheduler::Withdraw(const FlowKey& flow) {
  const auto found = queue_.find(flow);
  if (found == queue_.end() || !found->second.is_announced()) return false;
  Erase(found);
  return true;
}

PacketOutcome RequestScheduler::Submit(const FlowKey& flow,
                                       const RequestTerms& terms,
                                       TimePoint since,
                                       const DataPacket& packet,
                                       TimePoint now) {
  if (IsWaiting(flow)) return Hold(flow, packet);
  Withdraw(flow);
  // With a limit, TakeNext() decides, which knows if the response is late.
  if (slots_.HasRoom() && waiting() == 0 && !warm_up_.IsLimiting(now)) {
    Start(flow, terms, now);
    return PacketOutcome::kSend;
  }
  QueuedRequest request{.flow = flow,
                        .terms = terms,
                        .since = since,
                        .arrival = now,
                        .packets = {}};
  request.packets.Add(packet);
  const auto size = SizeOf(request);
  if (request.packets.bytes() > kMaxFlowBytes || bytes_ + size > kMaxBytes ||
      queue_.size() >= kMaxRequests) {
    if (!CheckLimit(now)) return PacketOutcome::kNoMemory;
    Start(flow, terms, now);
    return PacketOutcome::kSend;
  }
  bytes_ += size;
  queue_.emplace(flow, std::move(request));
  return PacketOutcome::kHeld;
}

PacketOutcome RequestScheduler::Hold(const FlowKey& flow,
                                     const DataPacket& packet) {
  const auto found = queue_.find(flow);
  if (found == queue_.end()) return PacketOutcome::kSend;
  auto& packets = found->second.packets;
  if (packets.Covers(packet)) return PacketOutcome::kDuplicate;
  const auto size = HeldPackets::SizeOf(packet);
  if (packets.bytes() + size > kMaxFlowBytes || bytes_ + size > kMaxBytes) {
    return PacketOutcome::kNoMemory;
  }
  packets.Add(packet);
  bytes_ += size;
  return PacketOutcome::kHeld;
}

void RequestScheduler::Start(const FlowKey& flow, const RequestTerms& terms,
                             TimePoint now) {
  slots_.Take(flow, terms, now);
  warm_up_.OnGiven(now);
}

bool RequestScheduler::CheckLimit(TimePoint now) {
  if (warm_up_.Permits(now)) return true;
  limited_at_ = now;
  return false;
}

ReadyRequest RequestScheduler::Take(Queue::iterator entry, TimePoint now) {
  auto& request = entry->second;
  bytes_ -= SizeOf(request);
  ReadyRequest ready{request.flow, request.terms, now - request.arrival,
                     WaitedForLimit(request), request.packets.Take()};
  queue_.erase(entry);
  Start(ready.flow, ready.terms, now);
  return ready;
}

std::optional<ReadyRequest> RequestScheduler::TakeNow(const FlowKey& flow,
                                                      TimePoint now) {
  if (!IsWaiting(flow) || !CheckLimit(now)) return std::nullopt;
  return Take(queue_.find(flow), now);
}

RequestScheduler::Queue::iterator RequestScheduler::FindNext(
    const RequestOrder& order, bool takes_late) {
  const auto is_ready = [&](const QueuedRequest& request) {
    return !request.is_announced() && order.CanBeAnswered(request) &&
           (takes_late || order.CanMeetTarget(request));
  };
  auto first = queue_.end();
  for (auto entry = queue_.begin(); entry != queue_.end(); ++entry) {
    if (!is_ready(entry->second)) continue;
    if (first == queue_.end() || order.Precedes(entry->second, first->second)) {
      first = entry;
    }
  }
  if (first == queue_.end()) return first;
  auto overtaking = queue_.end();
  for (auto entry = queue_.begin(); entry != queue_.end(); ++entry) {
    if (!is_ready(entry->second)) continue;
    if (!order.Overtakes(entry->second, first->second)) continue;
    if (overtaking == queue_.end() ||
        order.Precedes(entry->second, overtaking->second)) {
      overtaking = entry;
    }
  }
  return overtaking == queue_.end() ? first : overtaking;
}

std::optional<ReadyRequest> RequestScheduler::TakeNext(TimePoint now,
                                                       Duration service_time) {
  if (!slots_.HasRoom() || waiting() == 0 || !CheckLimit(now)) {
    return std::nullopt;
  }
  const bool takes_late = warm_up_.PermitsLate(now);
  const auto next = FindNext(RequestOrder(now, service_time), takes_late);
  if (next != queue_.end()) return Take(next, now);
  if (!takes_late) limited_at_ = now;
  return std::nullopt;
}

DroppedRequest RequestScheduler::ToDropped(const QueuedRequest& request,
                                           TimePoint now) const {
  return {request.flow, request.terms, now - request.arrival,
          WaitedForLimit(request), request.packets.end_seq()};
}

std::optional<DroppedRequest> RequestScheduler::Remove(const FlowKey& flow,
                                                       TimePoint now) {
  if (!IsWaiting(flow)) return std::nullopt;
  const auto found = queue_.find(flow);
  const auto dropped = ToDropped(found->second, now);
  Erase(found);
  return dropped;
}

std::vector<DroppedRequest> RequestScheduler::DropUnanswerable(
    TimePoint now, Duration service_time) {
  std::vector<DroppedRequest> dropped;
  const RequestOrder order(now, service_time);
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    const auto& request = entry->second;
    if (request.is_announced() || order.CanBeAnswered(request)) {
      ++entry;
      continue;
    }
    dropped.push_back(ToDropped(request, now));
    entry = Erase(entry);
  }
  return dropped;
}

Duration RequestScheduler::AnswerTimeOf(std::size_t requests,
                                        Duration service_time) const {
  const std::size_t slots = slots_.slots();
  const auto behind = requests > slots ? requests - slots : 0;
  const auto rounds = (behind + slots - 1) / slots;
  return service_time * static_cast<Duration::rep>(1 + rounds);
}

AnswerForecast RequestScheduler::Forecast(const RequestTerms& terms,
                                          TimePoint since, TimePoint now,
                                          Duration service_time) const {
  const RequestOrder order(now, service_time);
  const QueuedRequest candidate{.flow = {},
                                .terms = terms,
                                .since = since,
                                .arrival = now,
                                .packets = {}};
  std::size_t ahead = slots_.taken();
  std::size_t waiting_ahead = 0;
  std::vector<const QueuedRequest*> behind;
  const bool checks_displaced = queue_.size() <= kMaxForecastDepth;
  for (const auto& [flow, request] : queue_) {
    if (!order.Precedes(candidate, request)) {
      ++ahead;
      ++waiting_ahead;
    } else if (checks_displaced) {
      behind.push_back(&request);
    }
  }
  AnswerForecast forecast;
  forecast.answer_time = AnswerTimeBehind(candidate, order, ahead,
                                          waiting_ahead, now, service_time);
  const auto answer_at = now + forecast.answer_time;
  forecast.in_time = answer_at <= candidate.target_at();
  forecast.before_limit = answer_at <= since + terms.limit();

  std::sort(behind.begin(), behind.end(), [&](const auto* a, const auto* b) {
    return order.Precedes(*a, *b);
  });
  bool displaces_more_urgent = false;
  bool displaces_other = false;
  for (const auto* request : behind) {
    const auto before =
        now + AnswerTimeBehind(*request, order, ahead, waiting_ahead, now,
                               service_time);
    const auto after =
        now + AnswerTimeBehind(*request, order, ahead + 1, waiting_ahead + 1,
                               now, service_time);
    const auto limit = request->since + request->terms.limit();
    // Will be dropped in any case, so it takes no slot.
    if (before > limit) continue;
    ++ahead;
    ++waiting_ahead;
    const bool becomes_late =
        before <= request->target_at() && after > request->target_at();
    forecast.makes_late |= becomes_late;
    if (!becomes_late && after <= limit) continue;
    const bool more_urgent = request->terms.priority < terms.priority;
    (more_urgent ? displaces_more_urgent : displaces_other) = true;
  }
  forecast.displaces_only_more_urgent =
      displaces_more_urgent && !displaces_other;
  return forecast;
}

std::uint32_t RequestScheduler::CapacityWithin(Duration time,
                                               Duration service_time,
                                               TimePoint now) const {
  const auto rounds = service_time > Duration::zero() ? time / service_time : 0;
  const auto possible = static_cast<std::uint64_t>(rounds) * slots_.slots();
  const auto present = slots_.taken() + queue_.size();
  if (possible <= present) return 0;
  const auto by_slots = std::min<std::uint64_t>(possible - present, UINT32_MAX);
  return std::min(static_cast<std::uint32_t>(by_slots),
                  PermittedWithin(time - service_time, now));
}

std::uint32_t RequestScheduler::PermittedWithin(Duration time,
                                                TimePoint now) const {
  if (!warm_up_.IsLimiting(now)) return UINT32_MAX;
  // The wait grows with the number of requests.
  std::uint32_t low = 0;
  std::uint32_t high = kMaxRequests;
  while (low < high) {
    const auto middle = low + (high - low) / 2;
    if (warm_up_.Wait(now, queue_.size() + middle) <= time) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

Duration RequestScheduler::AnswerTimeBehind(const QueuedRequest& request,
                                            const RequestOrder& order,
                                            std::size_t ahead,
                                            std::size_t waiting, TimePoint now,
                                            Duration service_time) const {
  const auto wait = order.CanMeetTarget(request)
                        ? warm_up_.Wait(now, waiting)
                        : warm_up_.WaitIfLate(now, waiting);
  return std::max(AnswerTimeOf(ahead + 1, service_time), wait + service_time);
}

std::optional<TimePoint> RequestScheduler::NextPermitted(TimePoint now) const {
  if (waiting() == 0 || !slots_.HasRoom()) return std::nullopt;
  auto wait = warm_up_.Wait(now);
  // Those that are in time have been taken.
  if (wait == Duration::zero()) wait = warm_up_.WaitIfLate(now);
  if (wait == Duration::zero()) return std::nullopt;
  return now + wait;
}

}  // namespace cowslip::scheduling
