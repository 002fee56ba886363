#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Max-Age of a 5.03 response: when the caller may try again.
constexpr std::chrono::seconds kRetryAfter{1};
/// Time for which callers retransmit a request (MAX_TRANSMIT_SPAN, RFC 7252
/// section 4.8.2).
constexpr std::chrono::seconds kMaxTransmitSpan{45};

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
  if (!message->IsRequest()) {
    effects.datagrams.push_back({slot, payload});
  } else if (message->IsIdempotent()) {
    OnIdempotent(slot, *message, frame, now, effects);
  } else {
    OnNonIdempotent(slot, *message, frame, now, effects);
  }
}

void Sidecar::OnNonIdempotent(flow::FlowSlot slot, Message& request,
                              const Frame& frame, TimePoint now,
                              SidecarEffects& effects) {
  const auto* echo = request.FindOption(OptionNumber::kEcho);
  LastReason<permit::PermitError> reason;
  const auto claimed_permit = echo == nullptr
                                  ? std::nullopt
                                  : permit::DecodePermit(echo->value, reason);
  if (!claimed_permit) {
    OnUnpermitted(slot, request, frame, now, effects);
    return;
  }
  if (!issuer_.Issued(*claimed_permit)) {
    const auto* issuer = service_->Find(claimed_permit->upstream);
    const bool is_reachable =
        issuer != nullptr && issuer->id != options_.id &&
        issuer->incarnation == claimed_permit->incarnation &&
        !detector_.IsUnresponsive(issuer->id);
    if (is_reachable) {
      Forward(frame, *issuer, link::kFlagDelegated | link::kFlagLookupDone,
              effects);
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
  if (runs_.Contains(slot, request.token) &&
      !permits_.IsRunning(permit.number)) {
    // Another request with this token is running. Their responses could not be
    // distinguished.
    return;
  }
  const permit::RequestId id{flows_.At(slot).key, request.message_id,
                             request.token};
  switch (permits_.Begin(permit, id, now)) {
    case RunDecision::kRun:
      if (membership_.lease() != membership::LeaseState::kHeld) {
        RefuseRun(slot, request, permit.number, effects);
        return;
      }
      Run(slot, request, permit, now, effects);
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

/// Spends the permit without running the request, because this incarnation may
/// be superseded.
void Sidecar::RefuseRun(flow::FlowSlot slot, const Message& request,
                        permit::PermitNumber number, SidecarEffects& effects) {
  counters_->Add(Counter::kNotRun);
  LastReason<coap::CoapError> reason;
  auto bytes =
      coap::Encode(coap::MakeUnavailable(request, kRetryAfter), reason);
  if (!bytes || !permits_.Finish(number, *bytes)) return;
  Reply(slot, effects.scratch.Store(std::move(*bytes)), effects);
}

void Sidecar::Run(flow::FlowSlot slot, Message& request, const Permit& permit,
                  TimePoint now, SidecarEffects& effects) {
  counters_->Add(Counter::kRuns);
  request.RemoveOption(OptionNumber::kEcho);
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(request, reason);
  if (bytes) {
    effects.datagrams.push_back(
        {slot, effects.scratch.Store(std::move(*bytes))});
  }
  admission_.OnReservationUsed(permit.expires -
                               permit::PermitIssuer::kLifetime);
  const auto timing = admission_.OnStarted(now);
  runs_.Add({slot, permit.number, request,
             now + service_->service.request_timeout, timing});
}

/// Handles a non-idempotent request without a permit: issues a permit, or
/// forwards the request to an upstream with less load.
void Sidecar::OnUnpermitted(flow::FlowSlot slot, const Message& request,
                            const Frame& frame, TimePoint now,
                            SidecarEffects& effects) {
  if ((!HasCapacity(frame, now) || PrefersHint(frame.header)) &&
      Offload(frame, link::kFlagDelegated | link::kFlagLookupDone, now,
              effects)) {
    counters_->Add(Counter::kRequestsPassedOn);
    return;
  }
  Challenge(slot, request, now, effects);
}

void Sidecar::Challenge(flow::FlowSlot slot, const Message& request,
                        TimePoint now, SidecarEffects& effects) {
  const auto expires = now + permit::PermitIssuer::kLifetime;
  const bool has_capacity =
      AcceptsNewWork() &&
      admission_.Decide(now) != flow::AdmissionDecision::kShed &&
      permits_.Reserve(now, expires);
  if (!has_capacity) {
    counters_->Add(Counter::kNotRun);
    ReplyMessage(slot, coap::MakeUnavailable(request, kRetryAfter), effects);
    return;
  }
  counters_->Add(Counter::kChallenges);
  admission_.OnReserved(now);
  const auto echo = issuer_.Issue(flows_.At(slot).key, now);
  ReplyMessage(slot, coap::MakeChallenge(request, echo), effects);
}

/// Suppresses the empty acknowledgement of a running request. It would end the
/// retransmissions of the caller, and if this sidecar then failed, the caller
/// would never receive the response that the outcome is unknown.
bool Sidecar::ShouldSuppressAck(flow::FlowSlot slot,
                                const Message& message) const {
  return message.type == coap::Type::kAck &&
         message.code == coap::Code::kEmpty &&
         service_->service.request_timeout <= kMaxTransmitSpan &&
         runs_.IsRunning(slot, message.message_id);
}

void Sidecar::FinishRun(const RunTable::Run& run, const Message& outcome,
                        TimePoint now, SidecarEffects& effects) {
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(outcome, reason);
  if (!bytes || !permits_.Finish(run.permit, *bytes)) return;
  requests_.AddAnswered(run.slot, outcome, now);
  Reply(run.slot, effects.scratch.Store(std::move(*bytes)), effects);
}

void Sidecar::ExpireRuns(TimePoint now, SidecarEffects& effects) {
  for (const auto& run : runs_.TakeOverdue(now)) {
    counters_->Add(Counter::kOutcomesUnknown);
    admission_.OnAbandoned(now_);
    FinishRun(run, coap::MakeOutcomeUnknown(run.request), now_, effects);
  }
}

void Sidecar::FailRuns(flow::FlowSlot slot, SidecarEffects& effects) {
  for (const auto& run : runs_.TakeAll(slot)) {
    counters_->Add(Counter::kOutcomesUnknown);
    admission_.OnAbandoned(now_);
    FinishRun(run, coap::MakeOutcomeUnknown(run.request), now_, effects);
  }
}

}  // namespace cowslip::engine
