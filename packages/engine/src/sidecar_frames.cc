#include <utility>

#include "coap_peek.h"
#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {

using link::FrameHeader;
using link::FrameKind;

std::optional<Sidecar> Sidecar::Create(const SidecarOptions& options,
                                       LastReason<EngineError>& reason) {
  constexpr std::size_t kMaxFlows = 1'000'000;
  LastReason<flow::FlowError> fault;
  auto flows = flow::FlowTable::Create(kMaxFlows, fault);
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
      contacts_(options.silence),
      issuer_(options.id, options.incarnation, options.permit_key),
      permits_(options.permit_capacity),
      members_(MakeRole(options)),
      requests_(options.request_capacity),
      counters_(std::make_unique<Counters>()),
      replies_(*counters_),
      observations_(options.observation_capacity) {}

void Sidecar::OnView(membership::ViewPtr view, TimePoint now,
                     SidecarEffects& effects) {
  now_ = now;
  members_.OnEvent(now);
  const auto old_view = std::exchange(view_, std::move(view));
  members_.OnView(view_, options_.id, options_.service, now);
  const auto* before = std::exchange(service_, view_->Find(options_.service));
  if (service_ == nullptr) return;
  NoteMembers(before);
  const auto& service = service_->service;
  const bool balance = service.prefer == ticket::Preference::kBalance;
  admission_.SetQueue(service.max_queue, balance ? 0 : options_.slots);
  ForgetRestarted(before);
  redirects_.SetLifetime(2 * IdleTimeout() + IdleTimeout() / 2);
  if (before == nullptr) return;
  // Flows that used an address which the service no longer has can't go on.
  while (const auto oldest = flows_.Oldest()) {
    if (flows_.At(*oldest).key.service == service_->service.address) break;
    EndFlow(*oldest, effects);
  }
}

/// A new incarnation is not judged by the silence of the one before.
void Sidecar::ForgetRestarted(const membership::ServiceView* before) {
  if (before == nullptr) return;
  for (const auto& old : before->upstreams) {
    const auto* present = service_->Find(old.id);
    if (present == nullptr || present->incarnation != old.incarnation) {
      contacts_.Remove(old.id);
    }
  }
}

Duration Sidecar::IdleTimeout() const { return service_->service.idle_timeout; }

std::span<const Upstream* const> Sidecar::RankedFor(const FlowKey& key) {
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
  const bool matters = service_->service.protocol == ticket::Protocol::kCoap &&
                       IsConfirmable(payload);
  SendReply(slot, payload, matters, effects);
}

void Sidecar::SendReply(flow::FlowSlot slot, ByteView payload, bool matters,
                        SidecarEffects& effects) {
  const auto& flow = flows_.At(slot);
  auto header = MakeHeader(FrameKind::kReply);
  header.flow = flow.key;
  if (flow.guest) header.flags |= link::kFlagDelegated;
  counters_->Add(Counter::kRepliesSent);
  replies_.Send(header, payload, flow.balancer, matters, now_, effects);
}

void Sidecar::ReplyMessage(flow::FlowSlot slot, const coap::Message& message,
                           SidecarEffects& effects) {
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(message, reason);
  if (bytes) Reply(slot, effects.scratch.Keep(std::move(*bytes)), effects);
}

void Sidecar::OnFrame(const link::Frame& frame, const Endpoint& from,
                      TimePoint now, SidecarEffects& effects) {
  const auto& header = frame.header;
  now_ = now;
  members_.OnEvent(now);
  from_ = from;
  replies_.OnFrame(header, from, now);
  if (view_ == nullptr || header.ticket > view_->ticket()) {
    effects.fetches.push_back({header.ticket, from});
  }
  if (from != header.balancer) {
    paces_.Learn(UpstreamId(header.sender), header.service_time_us);
  }
  switch (header.kind) {
    case FrameKind::kCallerData:
      OnCallerData(frame, from, now, effects);
      return;
    case FrameKind::kRedirect:
      contacts_.OnHeard(UpstreamId(header.sender));
      OnRedirect(frame, from, effects);
      return;
    case FrameKind::kProbeAck:
      contacts_.OnHeard(UpstreamId(header.sender));
      OnMemberFrame(header, from, now, effects);
      return;
    case FrameKind::kProbe:
    case FrameKind::kIndirectProbe:
    case FrameKind::kIndirectProbeReply:
      OnMemberFrame(header, from, now, effects);
      return;
    case FrameKind::kObservationHandover:
      OnHandover(frame, from, effects);
      return;
    case FrameKind::kObservationHandoverAck:
      contacts_.OnHeard(UpstreamId(header.sender));
      OnHandoverAck(frame, effects);
      return;
    case FrameKind::kReplyAck:
      replies_.OnAck(header);
      return;
    case FrameKind::kBalancerLeaving:
      replies_.OnLeaving(header.balancer, now, effects);
      return;
    default:
      return;
  }
}

void Sidecar::OnUpstreamDatagram(flow::FlowSlot slot, ByteView payload,
                                 TimePoint now, SidecarEffects& effects) {
  now_ = now;
  members_.OnEvent(now);
  members_.upstream().OnAnswered(now);
  bool matters = false;
  if (!flows_.Holds(slot) || service_ == nullptr) return;
  if (service_->service.protocol == ticket::Protocol::kCoap) {
    LastReason<coap::CoapError> reason;
    auto message = coap::Parse(payload, reason);
    if (!message) {
      counters_->Add(Counter::kDropMalformed);
      return;
    }
    if (HoldsBack(slot, *message)) return;
    std::optional<RunTable::Run> run;
    const bool expected =
        !message->IsResponse() || ExpectsResponse(slot, *message, now, run);
    if (!expected || !TrackUpstreamMessage(slot, *message, effects)) return;
    if (run) {
      FinishRun(*run, *message, now, effects);
      return;
    }
    matters = message->type == coap::Type::kCon ||
              message->FindOption(coap::OptionNumber::kObserve) != nullptr;
    if (observations_.Has(slot)) {
      auto bytes = coap::Encode(*message, reason);
      if (!bytes) return;
      payload = effects.scratch.Keep(std::move(*bytes));
    }
  }
  SendReply(slot, payload, matters, effects);
}

void Sidecar::OnTick(TimePoint now, SidecarEffects& effects) {
  now_ = now;
  members_.OnEvent(now);
  replies_.Expire(now, effects);
  ProbeSuspects(effects);
  RepeatNotifications(effects);
  HandOverFeeds(effects);
  if (service_ == nullptr) return;
  RepeatRedirects(effects);
  members_.OnTick(MakeHeader(FrameKind::kProbe), service_->service.protocol,
                  now, effects);
  ExpireRuns(now, effects);
  ExpireRequests(now);
  ExpireGuests(now, effects);
  ExpireFlows(now, effects);
  redirects_.Expire(now);
  permits_.Expire(now);
}

}  // namespace cowslip::engine
