#include "cowslip/engine/balancer.h"

namespace cowslip::engine {

using link::FrameHeader;
using link::FrameKind;
using membership::ServiceView;

std::optional<Balancer> Balancer::Create(const BalancerOptions& options,
                                         LastReason<EngineError>& reason) {
  LastReason<flow::FlowError> hints_error;
  auto hints = flow::HintCache::Create(options.hint_capacity, hints_error);
  if (hints) return Balancer(options, std::move(*hints));
  reason.Set(EngineError::kBadOptions, hints_error.Message());
  return std::nullopt;
}

Balancer::Balancer(const BalancerOptions& options, flow::HintCache hints)
    : options_(options),
      hints_(std::move(hints)),
      detector_(options.failure_detector),
      counters_(std::make_unique<Counters>()) {}

void Balancer::OnView(membership::ViewPtr view) {
  view_ = std::move(view);
  hellos_.OnView(*view_, [&](UpstreamId id) {
    detector_.Remove(id);
    free_slots_.Remove(id);
  });
}

void Balancer::OnTick(TimePoint now, BalancerEffects& effects) {
  if (view_ == nullptr) return;
  for (const auto id : detector_.TakeDueProbes(now)) {
    const auto* service = view_->Find(hellos_.ServiceOf(id));
    const auto* upstream = service == nullptr ? nullptr : service->Find(id);
    if (upstream != nullptr) SendProbe(*service, *upstream, effects);
  }
  hellos_.SendDue(*view_, now, [&](const auto& service, const auto& upstream) {
    SendProbe(service, upstream, effects);
  });
}

FrameHeader Balancer::MakeHeader(FrameKind kind,
                                 const ServiceView& service) const {
  FrameHeader header;
  header.kind = kind;
  header.service = service.service.id;
  header.ticket = view_->ticket();
  header.sender = Raw(options_.id);
  header.balancer = options_.frames;
  return header;
}

const Upstream* Balancer::Choose(const ServiceView& service, const FlowKey& key,
                                 TimePoint now,
                                 link::VisitedList& unresponsive) {
  const auto hash = HashFlow(key);
  const auto hint = hints_.Find(key, hash, now);
  if (hint) {
    const auto* hinted = service.Find(*hint);
    if (hinted != nullptr && !detector_.IsUnresponsive(*hint)) return hinted;
  }
  const auto skip = [&](const Upstream& upstream) {
    if (!detector_.IsUnresponsive(upstream.id)) return false;
    unresponsive.AddUnresponsive(upstream.id);
    return true;
  };
  const auto* responsive = flow::TopUpstream(service.upstreams, hash, skip);
  if (responsive != nullptr) return responsive;
  // If all seem unresponsive, the failure detection may be wrong: send to the
  // first-ranked upstream all the same.
  unresponsive = {};
  const auto none = [](const Upstream&) { return false; };
  return flow::TopUpstream(service.upstreams, hash, none);
}

void Balancer::ProbeIfDue(const ServiceView& service, const Upstream& upstream,
                          TimePoint now, BalancerEffects& effects) {
  if (detector_.OnSent(upstream.id, now)) SendProbe(service, upstream, effects);
}

void Balancer::SendProbe(const ServiceView& service, const Upstream& upstream,
                         BalancerEffects& effects) {
  counters_->Add(Counter::kProbesSent);
  effects.frames.push_back(
      {upstream.sidecar, MakeHeader(FrameKind::kProbe, service), {}});
}

void Balancer::OnCallerDatagram(const CallerDatagram& datagram, TimePoint now,
                                BalancerEffects& effects) {
  counters_->Add(Counter::kCallerDatagrams);
  const auto* service =
      view_ == nullptr ? nullptr : view_->FindAddress(datagram.flow.service);
  if (service == nullptr) {
    counters_->Add(Counter::kDropUnknownService);
    return;
  }
  auto header = MakeHeader(FrameKind::kCallerData, *service);
  const auto* upstream = Choose(*service, datagram.flow, now, header.visited);
  if (upstream == nullptr) {
    counters_->Add(Counter::kDropNoUpstream);
    return;
  }
  if (!header.visited.empty()) counters_->Add(Counter::kSilentSkips);
  for (const auto id : header.visited.ids()) {
    const auto* unresponsive = service->Find(id);
    ProbeIfDue(*service, *unresponsive, now, effects);
  }
  header.flow = datagram.flow;
  header.least_loaded.upstream =
      free_slots_.Take(service->service.id, upstream->id, now);
  effects.frames.push_back({upstream->sidecar, header, datagram.payload});
  ProbeIfDue(*service, *upstream, now, effects);
}

void Balancer::OnFrame(const link::Frame& frame, const Endpoint& from,
                       TimePoint now, BalancerEffects& effects) {
  const auto& header = frame.header;
  if (view_ == nullptr || header.ticket > view_->ticket()) {
    effects.fetches.push_back({header.ticket, from});
  }
  if (view_ == nullptr) return;
  switch (header.kind) {
    case FrameKind::kReply:
      OnReply(frame, from, now, effects);
      return;
    case FrameKind::kProbeAck:
      detector_.OnResponse(UpstreamId(header.sender));
      hellos_.OnAnswered(UpstreamId(header.sender));
      return;
    default:
      return;
  }
}

void Balancer::OnReply(const link::Frame& frame, const Endpoint& from,
                       TimePoint now, BalancerEffects& effects) {
  const auto& header = frame.header;
  detector_.OnResponse(UpstreamId(header.sender));
  const auto* service = view_->FindAddress(header.flow.service);
  if (service == nullptr || service->service.id != header.service) {
    counters_->Add(Counter::kDropWrongService);
    if (service != nullptr && header.ticket < view_->ticket()) {
      effects.frames.push_back(
          {from, MakeHeader(FrameKind::kTicketNumber, *service), {}});
    }
    return;
  }
  // Sidecars of earlier builds report nothing.
  if (header.least_loaded.upstream == UpstreamId(header.sender)) {
    free_slots_.Update(header.service, UpstreamId(header.sender),
                       header.least_loaded.expected_wait_us,
                       header.service_time_us, now);
  }
  if (!header.Has(link::kFlagDelegated)) {
    hints_.Insert(header.flow, HashFlow(header.flow), UpstreamId(header.sender),
                  now);
  }
  counters_->Add(Counter::kRepliesSent);
  effects.datagrams.push_back({header.flow, frame.payload});
  if (!header.Has(link::kFlagNeedsAck)) return;
  auto ack = MakeHeader(FrameKind::kReplyAck, *service);
  ack.flow = header.flow;
  ack.sequence = header.sequence;
  effects.frames.push_back({from, ack, {}});
}

void Balancer::StartDrain(BalancerEffects& effects) {
  if (view_ == nullptr) return;
  for (const auto& [id, service] : view_->services()) {
    const auto header = MakeHeader(FrameKind::kBalancerLeaving, *service);
    for (const auto& upstream : service->upstreams) {
      effects.frames.push_back({upstream.sidecar, header, {}});
    }
  }
}

}  // namespace cowslip::engine
