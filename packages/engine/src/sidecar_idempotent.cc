#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Max-Age of a 5.03 response: when the caller may try again.
constexpr std::chrono::seconds kRetryAfter{1};
/// Time for which an upstream that refused a datagram gets no new work.
constexpr std::chrono::seconds kNoWorkAfterRefusal{1};

}  // namespace

using coap::Code;
using coap::Message;
using link::Frame;

void Sidecar::OnIdempotent(flow::FlowSlot slot, const Message& request,
                           const Frame& frame, TimePoint now,
                           SidecarEffects& effects) {
  if (!transfers_.StartedHere(slot, request)) {
    counters_->Add(Counter::kTransfersRestarted);
    ReplyMessage(slot, MakeRestartResponse(request), effects);
    return;
  }
  const bool busy = requests_.IsBusy(slot);
  const auto result = AddRequest(slot, request, frame.payload);
  if (result == AddResult::kFull) {
    counters_->Add(Counter::kRequestsRefused);
    ReplyUnavailable(slot, request, effects);
    return;
  }
  if (result == AddResult::kNew &&
      !AdmitIdempotent(slot, request, busy, frame, now, effects)) {
    return;
  }
  if (result != AddResult::kDuplicate) {
    retry_budget_.OnFirstTry();
    requests_.SetTiming(slot, request.token, admission_.OnStarted(now));
  }
  effects.datagrams.push_back({slot, frame.payload});
}

/// Applies admission control to a new idempotent request.
/// @return false if the request was shed or its flow moved to another upstream.
bool Sidecar::AdmitIdempotent(flow::FlowSlot slot, const Message& request,
                              bool busy, const Frame& frame, TimePoint now,
                              SidecarEffects& effects) {
  const auto decision = admission_.Decide(now);
  if (decision != flow::AdmissionDecision::kAdmit && !busy &&
      MoveIdleFlow(slot, frame, now, effects)) {
    return false;
  }
  if (decision != flow::AdmissionDecision::kShed) return true;
  (void)requests_.TakePending(slot, request.token);
  counters_->Add(Counter::kRequestsShed);
  ReplyUnavailable(slot, request, effects);
  return false;
}

/// Moves a flow without observations or pending requests to an upstream with
/// less load, if the service prefers balance.
bool Sidecar::MoveIdleFlow(flow::FlowSlot slot, const Frame& frame,
                           TimePoint now, SidecarEffects& effects) {
  const auto& service = service_->service;
  if (service.prefer != ticket::Preference::kBalance) return false;
  if (frame.header.Has(link::kFlagOffloaded) || flows_.At(slot).delegated) {
    return false;
  }
  if (!Offload(frame, link::kFlagLookupDone, now, effects)) return false;
  counters_->Add(Counter::kFlowsPassedOn);
  (void)requests_.TakeAll(slot);
  EndFlow(slot, effects);
  return true;
}

void Sidecar::ReplyUnavailable(flow::FlowSlot slot, const Message& request,
                               SidecarEffects& effects) {
  ReplyMessage(slot, coap::MakeUnavailable(request, kRetryAfter), effects);
}

AddResult Sidecar::AddRequest(flow::FlowSlot slot, const Message& request,
                              ByteView datagram) {
  const auto deadline = now_ + service_->service.request_timeout;
  return requests_.Add(slot, request, datagram, deadline);
}

/// Completes the request that a response of the upstream answers.
/// @param run receives the run if the request was a permitted one.
/// @return false if the response answers no request and must be dropped.
bool Sidecar::CompleteRequest(flow::FlowSlot slot, const Message& response,
                              TimePoint now,
                              std::optional<RunTable::Run>& run) {
  const bool refused = response.code == Code::kServiceUnavailable;
  run = runs_.Take(slot, response.token);
  if (run) {
    RecordCompletion(run->timing, refused, now);
    return true;
  }
  flow::RequestTiming timing;
  const auto match = requests_.OnResponse(slot, response, now, timing);
  if (match == ResponseMatch::kFirst) RecordCompletion(timing, refused, now);
  if (match != ResponseMatch::kUnexpected) return true;
  counters_->Add(Counter::kDropForeignReply);
  return false;
}

void Sidecar::RecordCompletion(const flow::RequestTiming& timing, bool refused,
                               TimePoint now) {
  if (!refused) {
    admission_.OnFinished(timing, now);
    return;
  }
  admission_.OnRefused();
  admission_.OnAbandoned(now);
}

void Sidecar::Retry(const RequestTable::PendingRequest& request, TimePoint now,
                    SidecarEffects& effects) {
  Frame frame;
  frame.header = MakeHeader(link::FrameKind::kCallerData);
  frame.header.flow = flows_.At(request.slot).key;
  frame.header.balancer = flows_.At(request.slot).balancer;
  frame.payload = effects.scratch.Store(request.datagram);
  const bool offloaded = now < request.deadline && retry_budget_.TryTake() &&
                         Offload(frame, link::kFlagLookupDone, now, effects);
  if (offloaded) {
    counters_->Add(Counter::kRequestsRetried);
    return;
  }
  LastReason<coap::CoapError> reason;
  const auto message = coap::Parse(request.datagram, reason);
  if (!message) return;
  counters_->Add(Counter::kOutcomesUnknown);
  ReplyMessage(request.slot, coap::MakeOutcomeUnknown(*message), effects);
}

void Sidecar::ExpireRequests(TimePoint now) {
  for (auto overdue = requests_.Expire(now); overdue > 0; --overdue) {
    counters_->Add(Counter::kRequestsOverdue);
    admission_.OnAbandoned(now);
  }
}

void Sidecar::OnUpstreamRefused(flow::FlowSlot slot, TimePoint now,
                                SidecarEffects& effects) {
  now_ = now;
  membership_.OnEvent(now);
  membership_.upstream().OnRefused(now);
  if (!flows_.Contains(slot) || service_ == nullptr) return;
  if (service_->service.protocol != ticket::Protocol::kCoap) return;
  counters_->Add(Counter::kUpstreamRefusals);
  no_work_until_ = now + kNoWorkAfterRefusal;
  FailRuns(slot, effects);
  for (const auto& request : requests_.TakeAll(slot)) {
    admission_.OnAbandoned(now);
    Retry(request, now, effects);
  }
  EndFlow(slot, effects);
}

}  // namespace cowslip::engine
