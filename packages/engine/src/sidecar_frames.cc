#include <utility>

#include "coap_peek.h"
#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {

using link::FrameHeader;
using link::FrameKind;

std::optional<Sidecar> Sidecar::Create(const SidecarOptions& options,
                                       LastReason<EngineError>& reason) {
  constexpr std::size_t kMaxFlows = 1'000'000;
  LastReason<flow::FlowError> flows_error;
  auto flows = flow::FlowTable::Create(kMaxFlows, flows_error);
  if (flows && options.slots > 0 && options.permit_capacity > 0) {
    return Sidecar(options, std::move(*flows));
  }
  reason.Set(EngineError::kBadOptions, "slots or permit_capacity");
  return std::nullopt;
}

Sidecar::Sidecar(const SidecarOptions& options, flow::FlowTable flows)
    : options_(options),
      flows_(std::move(flows)),
      redirects_(options.redirect_capacity, std::chrono::minutes(4)),
      admission_({options.slots, 0, options.slow_start}, options.started),
      detector_(options.failure_detector),
      issuer_(options.id, options.incarnation, options.permit_key),
      permits_(options.permit_capacity),
      membership_(MakeMembershipAgent(options)),
      requests_(options.request_capacity),
      counters_(std::make_unique<Counters>()),
      replies_(*counters_),
      observations_(options.observation_capacity) {}

void Sidecar::OnView(membership::ViewPtr view, TimePoint now,
                     SidecarEffects& effects) {
  now_ = now;
  membership_.OnEvent(now);
  const auto old_view = std::exchange(view_, std::move(view));
  membership_.OnView(view_, options_.id, options_.service, now);
  const auto* old_service =
      std::exchange(service_, view_->Find(options_.service));
  if (service_ == nullptr) return;
  UpdateMembersEpoch(old_service);
  const auto& service = service_->service;
  const bool balance = service.prefer == ticket::Preference::kBalance;
  admission_.SetQueue(service.max_queue, balance ? 0 : options_.slots);
  ResetRestartedUpstreams(old_service);
  redirects_.SetLifetime(2 * IdleTimeout() + IdleTimeout() / 2);
  if (old_service == nullptr) return;
  // Flows to a former address of the service can't continue.
  while (const auto oldest = flows_.Oldest()) {
    if (flows_.At(*oldest).key.service == service_->service.address) break;
    EndFlow(*oldest, effects);
  }
}

/// Resets the failure detection of upstreams that have left or restarted: a new
/// incarnation must not inherit the unanswered probes of the previous one.
void Sidecar::ResetRestartedUpstreams(
    const membership::ServiceView* old_service) {
  if (old_service == nullptr) return;
  for (const auto& old : old_service->upstreams) {
    const auto* present = service_->Find(old.id);
    if (present == nullptr || present->incarnation != old.incarnation) {
      detector_.Remove(old.id);
    }
  }
}

Duration Sidecar::IdleTimeout() const { return service_->service.idle_timeout; }

std::span<const Upstream* const> Sidecar::RankedUpstreams(const FlowKey& key) {
  ranking_.Build(service_->upstreams, HashFlow(key));
  return ranking_.order();
}

FrameHeader Sidecar::MakeHeader(FrameKind kind) const {
  FrameHeader header;
  header.kind = kind;
  header.service = options_.service;
  header.ticket = view_ == nullptr ? TicketNumber{} : view_->ticket();
  header.sender = Raw(options_.id);
  header.incarnation = options_.incarnation;
  header.service_time_us = ServiceTime();
  return header;
}

void Sidecar::Reply(flow::FlowSlot slot, ByteView payload,
                    SidecarEffects& effects) {
  const bool reliable = service_->service.protocol == ticket::Protocol::kCoap &&
                        IsConfirmable(payload);
  SendReply(slot, payload, reliable, effects);
}

void Sidecar::SendReply(flow::FlowSlot slot, ByteView payload, bool reliable,
                        SidecarEffects& effects) {
  const auto& flow = flows_.At(slot);
  auto header = MakeHeader(FrameKind::kReply);
  header.flow = flow.key;
  header.least_loaded = FreeSlotReport();
  if (flow.delegated) header.flags |= link::kFlagDelegated;
  counters_->Add(Counter::kRepliesSent);
  replies_.Send(header, payload, flow.balancer, reliable, now_, effects);
}

void Sidecar::ReplyMessage(flow::FlowSlot slot, const coap::Message& message,
                           SidecarEffects& effects) {
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(message, reason);
  if (bytes) Reply(slot, effects.scratch.Store(std::move(*bytes)), effects);
}

void Sidecar::OnFrame(const link::Frame& frame, const Endpoint& from,
                      TimePoint now, SidecarEffects& effects) {
  const auto& header = frame.header;
  now_ = now;
  membership_.OnEvent(now);
  last_sender_ = from;
  replies_.OnFrame(header, from, now);
  if (view_ == nullptr || header.ticket > view_->ticket()) {
    effects.fetches.push_back({header.ticket, from});
  }
  if (from != header.balancer) {
    service_times_.Update(UpstreamId(header.sender), header.service_time_us);
  }
  switch (header.kind) {
    case FrameKind::kCallerData:
      OnCallerData(frame, from, now, effects);
      return;
    case FrameKind::kRedirect:
      detector_.OnResponse(UpstreamId(header.sender));
      OnRedirect(frame, from, effects);
      return;
    case FrameKind::kProbeAck:
      detector_.OnResponse(UpstreamId(header.sender));
      OnMembershipFrame(header, from, now, effects);
      return;
    case FrameKind::kProbe:
    case FrameKind::kIndirectProbe:
    case FrameKind::kIndirectProbeReply:
      OnMembershipFrame(header, from, now, effects);
      return;
    case FrameKind::kObservationHandover:
      OnHandover(frame, from, effects);
      return;
    case FrameKind::kObservationHandoverAck:
      detector_.OnResponse(UpstreamId(header.sender));
      OnHandoverAck(frame, effects);
      return;
    case FrameKind::kReplyAck:
      replies_.OnAck(header);
      return;
    case FrameKind::kBalancerLeaving:
      replies_.OnBalancerLeaving(header.balancer, now, effects);
      return;
    default:
      return;
  }
}

void Sidecar::OnUpstreamDatagram(flow::FlowSlot slot, ByteView payload,
                                 TimePoint now, SidecarEffects& effects) {
  now_ = now;
  membership_.OnEvent(now);
  membership_.upstream().OnAnswered(now);
  bool reliable = false;
  if (!flows_.Contains(slot) || service_ == nullptr) return;
  if (service_->service.protocol == ticket::Protocol::kCoap) {
    LastReason<coap::CoapError> reason;
    auto message = coap::Parse(payload, reason);
    if (!message) {
      counters_->Add(Counter::kDropMalformed);
      return;
    }
    if (ShouldSuppressAck(slot, *message)) return;
    std::optional<RunTable::Run> run;
    const bool expected =
        !message->IsResponse() || CompleteRequest(slot, *message, now, run);
    if (!expected || !TrackUpstreamMessage(slot, *message, effects)) return;
    if (run) {
      FinishRun(*run, *message, now, effects);
      return;
    }
    reliable = message->type == coap::Type::kCon ||
               message->FindOption(coap::OptionNumber::kObserve) != nullptr;
    if (observations_.Has(slot)) {
      auto bytes = coap::Encode(*message, reason);
      if (!bytes) return;
      payload = effects.scratch.Store(std::move(*bytes));
    }
  }
  SendReply(slot, payload, reliable, effects);
}

void Sidecar::OnTick(TimePoint now, SidecarEffects& effects) {
  now_ = now;
  membership_.OnEvent(now);
  replies_.Expire(now, effects);
  ProbeSuspects(effects);
  RetransmitNotifications(effects);
  HandOverFeeds(effects);
  if (service_ == nullptr) return;
  ResendRedirects(effects);
  membership_.OnTick(MakeHeader(FrameKind::kProbe), service_->service.protocol,
                     now, effects);
  ExpireRuns(now, effects);
  ExpireRequests(now);
  ExpireDelegatedFlows(now, effects);
  ExpireFlows(now, effects);
  redirects_.Expire(now);
  permits_.Expire(now);
}

}  // namespace cowslip::engine
