#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

constexpr std::chrono::seconds kRetryAfter{1};
/// Time for which an upstream that refused a datagram gets no new work.
constexpr std::chrono::seconds kRefusalTime{1};

}  // namespace

using coap::Code;
using coap::Message;
using link::Frame;

void Sidecar::OnIdempotent(flow::FlowSlot slot, const Message& request,
                           const Frame& frame, TimePoint now,
                           SidecarEffects& effects) {
  if (!transfers_.BeganHere(slot, request)) {
    counters_->Add(Counter::kTransfersRestarted);
    ReplyMessage(slot, MakeStartOver(request), effects);
    return;
  }
  const bool busy = requests_.IsBusy(slot);
  const auto added = NoteRequest(slot, request, frame.payload);
  if (added == RequestAdded::kFull) {
    counters_->Add(Counter::kRequestsRefused);
    Refuse(slot, request, effects);
    return;
  }
  if (added == RequestAdded::kNew &&
      !AdmitIdempotent(slot, request, busy, frame, now, effects)) {
    return;
  }
  if (added != RequestAdded::kRepeated) {
    retries_.OnFirstTry();
    requests_.SetWork(slot, request.token, admission_.OnStarted(now));
  }
  effects.datagrams.push_back({slot, frame.payload});
}

/// @return false if the request was shed or its flow has moved.
bool Sidecar::AdmitIdempotent(flow::FlowSlot slot, const Message& request,
                              bool busy, const Frame& frame, TimePoint now,
                              SidecarEffects& effects) {
  const auto verdict = admission_.Judge(now);
  if (verdict != flow::Verdict::kAdmit && !busy &&
      MoveIdleFlow(slot, frame, now, effects)) {
    return false;
  }
  if (verdict != flow::Verdict::kShed) return true;
  (void)requests_.TakeWaiting(slot, request.token);
  counters_->Add(Counter::kRequestsShed);
  Refuse(slot, request, effects);
  return false;
}

/// Lets another upstream adopt a flow that has no feed and no request.
bool Sidecar::MoveIdleFlow(flow::FlowSlot slot, const Frame& frame,
                           TimePoint now, SidecarEffects& effects) {
  const auto& service = service_->service;
  if (service.prefer != ticket::Preference::kBalance) return false;
  if (frame.header.Has(link::kFlagOffloaded) || flows_.At(slot).guest) {
    return false;
  }
  if (!PassWork(frame, link::kFlagLookupDone, now, effects)) return false;
  counters_->Add(Counter::kFlowsPassedOn);
  (void)requests_.TakeAll(slot);
  EndFlow(slot, effects);
  return true;
}

void Sidecar::Refuse(flow::FlowSlot slot, const Message& request,
                     SidecarEffects& effects) {
  ReplyMessage(slot, coap::MakeUnavailable(request, kRetryAfter), effects);
}

RequestAdded Sidecar::NoteRequest(flow::FlowSlot slot, const Message& request,
                                  ByteView datagram) {
  const auto deadline = now_ + service_->service.request_timeout;
  return requests_.Add(slot, request, datagram, deadline);
}

/// Ends the work that a response of the upstream answers.
/// @param run receives the permitted run, if it is one.
/// @return false if nothing expects the response.
bool Sidecar::ExpectsResponse(flow::FlowSlot slot, const Message& response,
                              TimePoint now,
                              std::optional<RunTable::Run>& run) {
  const bool refused = response.code == Code::kServiceUnavailable;
  run = runs_.Take(slot, response.token);
  if (run) {
    EndWork(run->work, refused, now);
    return true;
  }
  flow::Work work;
  const auto match = requests_.OnResponse(slot, response, now, work);
  if (match == ResponseMatch::kFirst) EndWork(work, refused, now);
  if (match != ResponseMatch::kForeign) return true;
  counters_->Add(Counter::kDropForeignReply);
  return false;
}

void Sidecar::EndWork(const flow::Work& work, bool refused, TimePoint now) {
  if (!refused) {
    admission_.OnFinished(work, now);
    return;
  }
  admission_.OnRefused();
  admission_.OnAbandoned(now);
}

void Sidecar::Retry(const RequestTable::Waiting& request, TimePoint now,
                    SidecarEffects& effects) {
  Frame frame;
  frame.header = MakeHeader(link::FrameKind::kCallerData);
  frame.header.flow = flows_.At(request.slot).key;
  frame.header.balancer = flows_.At(request.slot).balancer;
  frame.payload = effects.scratch.Keep(request.datagram);
  const bool passed = now < request.deadline && retries_.Take() &&
                      PassWork(frame, link::kFlagLookupDone, now, effects);
  if (passed) {
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
  members_.OnEvent(now);
  members_.upstream().OnRefused(now);
  if (!flows_.Holds(slot) || service_ == nullptr) return;
  if (service_->service.protocol != ticket::Protocol::kCoap) return;
  counters_->Add(Counter::kUpstreamRefusals);
  refused_until_ = now + kRefusalTime;
  FailRuns(slot, effects);
  for (const auto& request : requests_.TakeAll(slot)) {
    admission_.OnAbandoned(now);
    Retry(request, now, effects);
  }
  EndFlow(slot, effects);
}

}  // namespace cowslip::engine
