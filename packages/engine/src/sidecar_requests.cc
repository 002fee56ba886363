#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

constexpr std::chrono::seconds kRetryAfter{1};

}  // namespace

using coap::Message;
using coap::OptionNumber;
using link::Frame;
using permit::Permit;
using permit::RunDecision;

void Sidecar::OnCallerMessage(flow::FlowSlot slot, ByteView payload,
                              const Frame& frame, TimePoint now,
                              SidecarEffects& effects) {
  LastReason<coap::CoapError> reason;
  auto message = coap::Parse(payload, reason);
  if (!message) {
    counters_->Add(Counter::kDropMalformed);
    return;
  }
  if (message->IsRequest() && !message->IsIdempotent()) {
    OnNonIdempotent(slot, *message, frame, now, effects);
    return;
  }
  effects.datagrams.push_back({slot, payload});
}

void Sidecar::OnNonIdempotent(flow::FlowSlot slot, Message& request,
                              const Frame& frame, TimePoint now,
                              SidecarEffects& effects) {
  const auto* echo = request.Find(OptionNumber::kEcho);
  LastReason<permit::PermitError> reason;
  const auto named =
      echo == nullptr ? std::nullopt : permit::ReadPermit(echo->value, reason);
  if (!named) {
    Challenge(slot, request, now, effects);
    return;
  }
  if (!issuer_.Names(*named)) {
    const auto* other = service_->Find(named->upstream);
    const bool alive = other != nullptr && other->id != options_.id &&
                       other->incarnation == named->incarnation;
    if (alive && !frame.header.visited.Contains(other->id)) {
      Forward(frame, *other, 0, effects);
      return;
    }
    counters_->Add(Counter::kOutcomesUnknown);
    ReplyMessage(slot, coap::MakeOutcomeUnknown(request), effects);
    return;
  }
  const auto permit = issuer_.Verify(echo->value, flows_.At(slot).key, reason);
  if (permit) {
    OnPermitted(slot, request, *permit, now, effects);
  } else {
    Challenge(slot, request, now, effects);
  }
}

void Sidecar::OnPermitted(flow::FlowSlot slot, Message& request,
                          const Permit& permit, TimePoint now,
                          SidecarEffects& effects) {
  const permit::RequestId id{flows_.At(slot).key, request.message_id,
                             request.token};
  switch (permits_.Begin(permit, id, now)) {
    case RunDecision::kRun:
      if (members_.lease() != membership::LeaseState::kHeld) {
        RefuseRun(slot, request, permit.number, effects);
        return;
      }
      Run(slot, request, permit.number, now, effects);
      return;
    case RunDecision::kInProgress:
      return;
    case RunDecision::kReplay:
      counters_->Add(Counter::kReplays);
      Reply(slot, *permits_.Outcome(permit.number), effects);
      return;
    case RunDecision::kReused:
    case RunDecision::kExpired:
      Challenge(slot, request, now, effects);
      return;
    case RunDecision::kOutcomeUnknown:
      counters_->Add(Counter::kOutcomesUnknown);
      ReplyMessage(slot, coap::MakeOutcomeUnknown(request), effects);
      return;
  }
}

/// The permit is spent without a run: this incarnation may be superseded.
void Sidecar::RefuseRun(flow::FlowSlot slot, const Message& request,
                        permit::PermitNumber number, SidecarEffects& effects) {
  counters_->Add(Counter::kNotRun);
  LastReason<coap::CoapError> reason;
  auto bytes =
      coap::Encode(coap::MakeUnavailable(request, kRetryAfter), reason);
  if (!bytes || !permits_.Finish(number, *bytes)) return;
  Reply(slot, effects.scratch.Keep(std::move(*bytes)), effects);
}

void Sidecar::Run(flow::FlowSlot slot, Message& request,
                  permit::PermitNumber number, TimePoint now,
                  SidecarEffects& effects) {
  counters_->Add(Counter::kRuns);
  request.RemoveOption(OptionNumber::kEcho);
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(request, reason);
  if (bytes) {
    effects.datagrams.push_back(
        {slot, effects.scratch.Keep(std::move(*bytes))});
  }
  admission_.OnStarted();
  runs_.Add({slot, number, request, now + service_->service.request_timeout});
}

void Sidecar::Challenge(flow::FlowSlot slot, const Message& request,
                        TimePoint now, SidecarEffects& effects) {
  const auto expires = now + permit::PermitIssuer::kLifetime;
  const bool room = AdmitsWork() &&
                    admission_.Judge(now) != flow::Verdict::kShed &&
                    permits_.Reserve(now, expires);
  if (!room) {
    counters_->Add(Counter::kNotRun);
    ReplyMessage(slot, coap::MakeUnavailable(request, kRetryAfter), effects);
    return;
  }
  counters_->Add(Counter::kChallenges);
  const auto echo = issuer_.Issue(flows_.At(slot).key, now);
  ReplyMessage(slot, coap::MakeChallenge(request, echo), effects);
}

void Sidecar::FinishRun(const RunTable::Run& run, const Message& outcome,
                        SidecarEffects& effects) {
  admission_.OnFinished();
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(outcome, reason);
  if (!bytes || !permits_.Finish(run.permit, *bytes)) return;
  Reply(run.slot, effects.scratch.Keep(std::move(*bytes)), effects);
}

void Sidecar::ExpireRuns(TimePoint now, SidecarEffects& effects) {
  for (const auto& run : runs_.TakeOverdue(now)) {
    counters_->Add(Counter::kOutcomesUnknown);
    FinishRun(run, coap::MakeOutcomeUnknown(run.request), effects);
  }
}

void Sidecar::FailRuns(flow::FlowSlot slot, SidecarEffects& effects) {
  for (const auto& run : runs_.TakeAll(slot)) {
    counters_->Add(Counter::kOutcomesUnknown);
    FinishRun(run, coap::MakeOutcomeUnknown(run.request), effects);
  }
}

void Sidecar::OnUpstreamRefused(flow::FlowSlot slot, TimePoint now,
                                SidecarEffects& effects) {
  now_ = now;
  members_.OnEvent(now);
  members_.upstream().OnRefused(now);
  if (flows_.Holds(slot)) FailRuns(slot, effects);
}

}  // namespace cowslip::engine
