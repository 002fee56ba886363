#include "cowslip/segment/request_dispatcher.h"

#include <algorithm>

#include "cowslip/segment/frame_ring.h"
#include "cowslip/segment/long_flow.h"
#include "syn_copy.h"

namespace cowslip::segment {
namespace {

using scheduling::PacketOutcome;
using scheduling::RequestTerms;

/// Time until a first request is no longer expected. Callers send it within a
/// round trip of the SYN.
constexpr std::chrono::milliseconds kFirstRequestTimeout{150};
/// Time for which upstreams keep a flow that is idle, and one that is not, less
/// a margin: they may discard flows that are idle for 15 s or older than 60 s.
constexpr std::chrono::seconds kKeptIdleTime{10};
constexpr std::chrono::seconds kKeptAge{50};
/// Time after which a longer time limit replaces the shortest one seen, as its
/// route may have been changed or removed.
constexpr std::chrono::seconds kShortestLimitLifetime{10};

/// @param age time since the start of the request at its caller.
RequestTerms TermsOf(const SegmentFrame& frame, std::chrono::milliseconds age) {
  RequestTerms terms;
  if (frame.time_left) terms.latency_target = *frame.time_left + age;
  if (!frame.request) return terms;
  terms.priority = frame.request->priority;
  if (frame.request->time_limit) {
    terms.time_limit = *frame.request->time_limit + age;
  }
  return terms;
}

/// @return whether the data of a packet ends before or at a sequence number.
bool EndsAtOrBefore(const Segment& segment, std::uint32_t seq) {
  return static_cast<std::int32_t>(segment.end_seq() - seq) <= 0;
}

}  // namespace

RequestDispatcher::SynDecision RequestDispatcher::DecideSyn(SegmentFrame& frame,
                                                            const Segment& syn,
                                                            TimePoint now) {
  auto decision = DecideAlone(frame, syn, now);
  AdmissionState state{.answer_time = decision.answer_time};
  decision.admission = CompareLongFlow(load_, syn.flow.service, now,
                                       decision.admission, state, frame);
  decision.answer_time = std::max(state.answer_time, LimitedAnswerTime(now));
  return decision;
}

/// Decides as for a flow of one request.
RequestDispatcher::SynDecision RequestDispatcher::DecideAlone(
    const SegmentFrame& frame, const Segment& syn, TimePoint now) const {
  const auto age = SynAge(syn.ack);
  const auto terms = TermsOf(frame, age);
  if (!terms.IsClassified() && !IsActive(now)) {
    const AdmissionState state{load_.HasFreeSlot(), load_.CanQueue(),
                               load_.AnswerTime(now, syn.flow.service)};
    return {DecideAdmission(state, frame.time_left), state.answer_time,
            !frame.time_left};
  }
  const auto forecast =
      scheduler_.Forecast(terms, now - age, now, load_.MeanServiceTime());
  const bool has_free_slot =
      load_.HasFreeSlot() && scheduler_.LimitWait(now) == Duration::zero();
  return {DecideScheduledAdmission(forecast, has_free_slot),
          std::chrono::duration_cast<std::chrono::microseconds>(
              forecast.answer_time),
          false};
}

void RequestDispatcher::OnFrame(const SegmentFrame& frame) {
  if (!frame.warm_up_limit) return;
  scheduler_.warm_up().OnLimit(frame.config, *frame.warm_up_limit);
}

bool RequestDispatcher::ClaimQuery(const Segment& segment, TimePoint now) {
  if (segment.length == 0) return true;
  if (!scheduler_.warm_up().Permits(now)) return false;
  scheduler_.warm_up().OnGiven(now);
  return true;
}

std::chrono::microseconds RequestDispatcher::LimitedAnswerTime(
    TimePoint now) const {
  const auto wait = scheduler_.LimitWait(now);
  if (wait == Duration::zero()) return {};
  return std::chrono::duration_cast<std::chrono::microseconds>(wait) +
         load_.MeanServiceTime();
}

std::chrono::microseconds RequestDispatcher::ExpectedWait(
    TimePoint now, const Endpoint& service) const {
  return std::max(load_.ExpectedWait(now, service), LimitedAnswerTime(now));
}

void RequestDispatcher::NoteClass(const RequestTerms& terms, TimePoint now) {
  if (!terms.IsClassified()) return;
  last_classified_ = now;
  if (!terms.time_limit) return;
  const bool replaces = !shortest_limit_ ||
                        *terms.time_limit <= *shortest_limit_ ||
                        now - shortest_limit_seen_ > kShortestLimitLifetime;
  if (!replaces) return;
  shortest_limit_ = terms.time_limit;
  shortest_limit_seen_ = now;
}

void RequestDispatcher::OnSynAccepted(FlowEntry& entry,
                                      const SegmentFrame& frame,
                                      const Segment& syn, TimePoint now) {
  const auto age = SynAge(syn.ack);
  entry.terms = TermsOf(frame, age);
  entry.first_request_since = now - age;
  entry.awaiting_first_request = true;
  NoteClass(entry.terms, now);
  load_.OnRequestExpected();
  scheduler_.Announce(syn.flow, entry.terms, now - age, now);
  expected_requests_.push_back({syn.flow, now + kFirstRequestTimeout});
}

void RequestDispatcher::EndAnnouncement(const FlowKey& flow, FlowEntry& entry) {
  if (!entry.awaiting_first_request) return;
  entry.awaiting_first_request = false;
  load_.OnExpectedRequestEnded();
  scheduler_.Withdraw(flow);
}

void RequestDispatcher::OnCallerPacket(FlowEntry& entry,
                                       const SegmentFrame& frame,
                                       const Segment& segment, ByteView packet,
                                       TimePoint now, Outbox& out) {
  const bool caller_ended = segment.rst || (segment.fin && segment.length == 0);
  if (caller_ended) {
    const auto dropped = scheduler_.Remove(segment.flow, now);
    if (dropped) OnDropped(*dropped, "caller_ended");
  }
  const bool has_request = entry.state == FlowState::kEstablished &&
                           segment.length > 0 && !segment.rst;
  if (has_request && !PassesData(entry, frame, segment, packet, now, out)) {
    return;
  }
  out.SendToUpstream(FrameRing::kNoToken, packet);
}

bool RequestDispatcher::PassesData(FlowEntry& entry, const SegmentFrame& frame,
                                   const Segment& segment, ByteView packet,
                                   TimePoint now, Outbox& out) {
  if (entry.dropped_end_seq &&
      EndsAtOrBefore(segment, *entry.dropped_end_seq)) {
    return false;
  }
  const bool is_new = !entry.caller_next_seq_valid ||
                      !EndsAtOrBefore(segment, entry.caller_next_seq);
  const auto note_data = [&] {
    if (!is_new) return;
    entry.caller_next_seq_valid = true;
    entry.caller_next_seq = segment.end_seq();
  };
  if (scheduler_.IsWaiting(segment.flow)) {
    const auto outcome =
        scheduler_.Hold(segment.flow, {segment.seq, segment.end_seq(), packet});
    if (outcome != PacketOutcome::kNoMemory) {
      note_data();
      return false;
    }
    // The upstream gets the data in order, so the packets before go first.
    const auto ready = scheduler_.TakeNow(segment.flow, now);
    if (!ready) return false;
    note_data();
    Send(*ready, now, out);
    return true;
  }
  if (!is_new || entry.request_in_progress) {
    note_data();
    return true;
  }
  // A process that started after the SYN learns the class from a later frame.
  if (!entry.terms.IsClassified() && frame.request) {
    entry.terms = TermsOf(frame, {});
  }
  NoteClass(entry.terms, now);
  const auto outcome = SubmitRequest(entry, segment, packet, now);
  // A packet that is dropped for lack of memory counts as not received.
  if (outcome != PacketOutcome::kNoMemory) note_data();
  return outcome == PacketOutcome::kSend;
}

PacketOutcome RequestDispatcher::SubmitRequest(FlowEntry& entry,
                                               const Segment& segment,
                                               ByteView packet, TimePoint now) {
  const auto since = entry.first_request_since.value_or(now);
  entry.request_seq = segment.seq;
  EndAnnouncement(segment.flow, entry);
  // An upstream that has restarted returns the packet at once, which resets the
  // flow.
  if (entry.upstream_restarts != upstream_restarts_) {
    entry.first_request_since.reset();
    return PacketOutcome::kSend;
  }
  if (!IsActive(now)) {
    entry.first_request_since.reset();
    scheduler_.Start(segment.flow, entry.terms, now);
    OnStarted(segment.flow, &entry, entry.terms, {}, now);
    return PacketOutcome::kSend;
  }
  const auto outcome =
      scheduler_.Submit(segment.flow, entry.terms, since,
                        {segment.seq, segment.end_seq(), packet}, now);
  if (outcome == PacketOutcome::kNoMemory) return outcome;
  entry.first_request_since.reset();
  if (outcome == PacketOutcome::kHeld) {
    load_.OnRequestExpected();
  } else {
    OnStarted(segment.flow, &entry, entry.terms, {}, now);
  }
  return outcome;
}

void RequestDispatcher::OnStarted(const FlowKey& flow, FlowEntry* entry,
                                  const RequestTerms& terms, Duration waited,
                                  TimePoint now) {
  const auto on_flow = entry == nullptr ? 1 : ++entry->requests;
  const auto start = load_.OnStarted(now, flow.service, on_flow);
  if (entry != nullptr) {
    entry->request_in_progress = true;
    entry->request = start;
  }
  responses_.OnStarted(flow, terms, now);
  if (IsActive(now)) stats_->waited[terms.priority].Record(waited);
}

void RequestDispatcher::Send(const scheduling::ReadyRequest& ready,
                             TimePoint now, Outbox& out) {
  load_.OnExpectedRequestEnded();
  stats_->warm_up_limited += ready.waited_for_limit ? 1 : 0;
  OnStarted(ready.flow, flows_->Find(ready.flow), ready.terms, ready.waited,
            now);
  for (const auto& packet : ready.packets) {
    out.SendToUpstream(FrameRing::kNoToken, packet);
  }
}

void RequestDispatcher::OnUpstreamPacket(FlowEntry& entry,
                                         const Segment& segment,
                                         TimePoint now) {
  entry.upstream_restarts = upstream_restarts_;
  responses_.OnUpstreamPacket(entry, segment, load_, now);
  entry.upstream_activity = now;
  if (segment.length == 0 || !entry.request_in_progress) return;
  entry.request_in_progress = false;
  stats_->request_time.Record(now - entry.request.arrival);
  if (scheduler_.Free(segment.flow)) load_.OnResponse(entry.request, now);
}

void RequestDispatcher::OnFlowLost(const FlowEntry& entry, TimePoint now) {
  const bool of_present_process = entry.upstream_restarts == upstream_restarts_;
  const bool is_kept = now - entry.upstream_activity < kKeptIdleTime &&
                       now - entry.started < kKeptAge;
  if (of_present_process && is_kept) OnMayHaveRestarted();
}

void RequestDispatcher::Release(const FlowKey& flow, FlowEntry& entry,
                                TimePoint now) {
  EndAnnouncement(flow, entry);
  responses_.OnFlowEnded(flow, now);
  if (entry.request_in_progress && scheduler_.Free(flow)) {
    load_.OnRequestAborted(entry.request, now);
  }
  entry.request_in_progress = false;
  if (entry.requests > 0) load_.OnFlowEnded(entry.request, now);
  entry.requests = 0;
  const auto dropped = scheduler_.Remove(flow, now);
  if (dropped) OnDropped(*dropped, "flow_ended");
}

void RequestDispatcher::OnDropped(const scheduling::DroppedRequest& dropped,
                                  std::string_view reason) {
  load_.OnExpectedRequestEnded();
  ++stats_->requests_dropped;
  stats_->warm_up_limited += dropped.waited_for_limit ? 1 : 0;
  FlowDecision decision;
  decision.action = "drop_request";
  decision.reason = reason;
  decision.flow = dropped.flow;
  decision.priority = dropped.terms.priority;
  decision.waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(dropped.waited);
  observer_->OnDecision(decision);
}

void RequestDispatcher::DropUnanswerable(TimePoint now) {
  for (const auto& each :
       scheduler_.DropUnanswerable(now, load_.MeanServiceTime())) {
    OnDropped(each, "past_time_limit");
    // Its caller may repeat the packets until it gives up.
    auto* entry = flows_->Find(each.flow);
    if (entry != nullptr) entry->dropped_end_seq = each.end_seq;
  }
}

void RequestDispatcher::Dispatch(TimePoint now, Outbox& out) {
  if (scheduler_.waiting() == 0 || !scheduler_.slots().HasRoom()) return;
  DropUnanswerable(now);
  while (const auto ready = scheduler_.TakeNext(now, load_.MeanServiceTime())) {
    Send(*ready, now, out);
  }
}

void RequestDispatcher::OnTick(TimePoint now, Outbox& out) {
  responses_.OnTick(now);
  while (!expected_requests_.empty() && now >= expected_requests_.front().due) {
    const auto flow = expected_requests_.front().flow;
    expected_requests_.pop_front();
    if (auto* entry = flows_->Find(flow)) EndAnnouncement(flow, *entry);
  }
  if (!IsActive(now) && scheduler_.waiting() == 0) return;
  for (const auto& flow : scheduler_.FreeOverdue(now)) {
    auto* entry = flows_->Find(flow);
    if (entry == nullptr) {
      load_.OnRequestAborted(now);
      continue;
    }
    load_.OnRequestAborted(entry->request, now);
    entry->request_in_progress = false;
  }
  DropUnanswerable(now);
  Dispatch(now, out);
  if (scheduler_.WastesSlot(now)) ++stats_->idle_slots_while_waiting;
}

void RequestDispatcher::OnResume(TimePoint now) {
  load_.OnResume(now);
  responses_.OnResume();
  DropUnanswerable(now);
}

void RequestDispatcher::OnReport(const UpstreamReport& report, bool restarted,
                                 TimePoint now) {
  load_.SetSlots(report.slots);
  scheduler_.SetSlots(report.slots);
  auto& warm_up = scheduler_.warm_up();
  const scheduling::WarmUpLimiter::Report start{report.started_at,
                                                report.warmup_left, restarted};
  warm_up.OnReport(start, now);
  if (!restarted) return;
  ++upstream_restarts_;
  if (warm_up.limit().is_limit()) AdoptFlows(warm_up.StartOf(start, now));
  const auto is_of_new_process = [&](const FlowKey& flow) {
    const auto* entry = flows_->Find(flow);
    return entry != nullptr && entry->upstream_restarts == upstream_restarts_;
  };
  for (const auto& each : scheduler_.Reset(now, is_of_new_process)) {
    OnDropped(each, "upstream_restarted");
  }
  load_.Reset(now);
  responses_.Reset();
  for (auto i = scheduler_.queued(); i > 0; --i) load_.OnRequestExpected();
}

void RequestDispatcher::AdoptFlows(TimePoint upstream_started) {
  flows_->ForEach([&](FlowEntry& entry) {
    if (entry.upstream_activity >= upstream_started) {
      entry.upstream_restarts = upstream_restarts_;
    }
  });
}

std::uint32_t RequestDispatcher::Capacity(TimePoint now) const {
  const auto service_time = load_.MeanServiceTime();
  const auto free_slots = std::min(
      load_.free_slots(), scheduler_.PermittedWithin(Duration::zero(), now));
  if (!IsActive(now) || !shortest_limit_) return free_slots;
  const auto within =
      scheduler_.CapacityWithin(*shortest_limit_, service_time, now);
  return std::min(std::max(free_slots, within), kMaxCapacity);
}

}  // namespace cowslip::segment
