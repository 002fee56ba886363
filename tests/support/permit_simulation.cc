#include "support/permit_simulation.h"

namespace cowslip::testing {
namespace {

using coap::Code;
using coap::Message;
using coap::OptionNumber;

constexpr ServiceId kService{1};
constexpr Endpoint kServiceAddress{0x7f000101, 5683};
constexpr Endpoint kCaller{0x7f000201, 40000};
constexpr int kSendsPerMessage = 2;
constexpr std::chrono::seconds kExpiry{2};
constexpr std::chrono::milliseconds kStepTime{1};

Endpoint SidecarAddress(std::size_t index) {
  return {0x7f000301, static_cast<std::uint16_t>(7001 + index)};
}
Endpoint BalancerAddress(std::size_t index) {
  return {0x7f000401, static_cast<std::uint16_t>(7101 + index)};
}

/// @return a flow that ranks upstream 1 first.
FlowKey FlowOfFirst(const std::vector<Upstream>& upstreams) {
  FlowKey key{kCaller, kServiceAddress};
  const auto none = [](const Upstream&) { return false; };
  while (flow::TopUpstream(upstreams, HashFlow(key), none)->id !=
         UpstreamId(1)) {
    ++key.caller.port;
  }
  return key;
}

Bytes Encoded(const Message& message) {
  LastReason<coap::CoapError> reason;
  return coap::Encode(message, reason).value();
}

Bytes Copy(ByteView view) { return {view.begin(), view.end()}; }

/// @return the state after the only ticket, built once for all simulations.
const ticket::TicketState& Tickets() {
  static const auto kState = [] {
    ticket::Service service;
    service.id = kService;
    service.name = "custody";
    service.address = kServiceAddress;
    service.protocol = ticket::Protocol::kCoap;
    ticket::Ticket ticket;
    ticket.number = TicketNumber(1);
    ticket.services = {service};
    return ticket::TicketState::FromSnapshot(ticket);
  }();
  return kState;
}

}  // namespace

PermitSimulation::PermitSimulation(const PermitScenario& scenario)
    : scenario_(scenario), now_(std::chrono::hours(1)) {
  for (std::size_t i = 0; i < 2; ++i) {
    engine::BalancerOptions options;
    options.id = BalancerId(static_cast<std::uint32_t>(i + 1));
    options.frames = BalancerAddress(i);
    options.hint_capacity = 4;
    LastReason<engine::EngineError> reason;
    balancers_.push_back(engine::Balancer::Create(options, reason).value());
  }
  flow_ = FlowOfFirst(MakeView(true)->Find(kService)->upstreams);
  for (std::size_t i = 0; i < 2; ++i) StartSidecar(i);
  balancers_[0].OnView(MakeView(true));
  balancers_[1].OnView(MakeView(!scenario.second_balancer_is_stale));
  request_.type = coap::Type::kCon;
  request_.code = Code::kPost;
  request_.message_id = 1;
  request_.token = {1};
  sends_left_ = kSendsPerMessage;
  Send(0);
}

membership::ViewPtr PermitSimulation::MakeView(bool with_first) const {
  std::vector<Upstream> upstreams;
  for (std::size_t i = with_first ? 0 : 1; i < 2; ++i) {
    Upstream upstream;
    upstream.id = UpstreamId(static_cast<std::uint32_t>(i + 1));
    upstream.service = kService;
    upstream.incarnation = nodes_[i].incarnation;
    upstream.sidecar = SidecarAddress(i);
    upstreams.push_back(upstream);
  }
  return std::make_shared<membership::View>(1, Tickets(), std::move(upstreams));
}

void PermitSimulation::StartSidecar(std::size_t index) {
  engine::SidecarOptions options;
  options.id = UpstreamId(static_cast<std::uint32_t>(index + 1));
  options.service = kService;
  options.incarnation = nodes_[index].incarnation;
  options.started = now_ - std::chrono::hours(1);
  options.permit_key.fill(
      static_cast<std::uint8_t>(Raw(options.incarnation) * 2 + index));
  const bool full = index == 0 ? scenario_.first_table_is_full
                               : scenario_.second_table_is_full;
  options.slots = 1;
  options.permit_capacity = full ? 1 : 8;
  LastReason<engine::EngineError> reason;
  nodes_[index].sidecar = engine::Sidecar::Create(options, reason);
  engine::SidecarEffects effects;
  auto& sidecar = nodes_[index].sidecar.value();
  sidecar.OnView(MakeView(index == 0 || !scenario_.second_sidecar_is_stale),
                 now_, effects);
  if (!full) return;
  // A permit for another caller fills the table.
  Message other;
  other.code = Code::kPost;
  const auto payload = Encoded(other);
  link::FrameHeader header;
  header.service = kService;
  header.ticket = TicketNumber(1);
  header.flow = {{kCaller.address + 1, kCaller.port}, kServiceAddress};
  header.flags = link::kFlagLookupDone | link::kFlagMustAccept;
  sidecar.OnFrame({header, payload}, BalancerAddress(0), now_, effects);
}

void PermitSimulation::UpdateViews() {
  const auto view = MakeView(true);
  for (auto& balancer : balancers_) balancer.OnView(view);
  for (std::size_t i = 0; i < 2; ++i) {
    engine::SidecarEffects effects;
    nodes_[i].sidecar->OnView(view, now_, effects);
    Collect(i, effects);
  }
}

void PermitSimulation::Send(std::size_t balancer) {
  --sends_left_;
  packets_.push_back({.destination = Destination::kBalancer,
                      .index = balancer,
                      .payload = Encoded(request_)});
}

bool PermitSimulation::Apply(Fault fault) {
  const bool has_second = packets_.size() > 1;
  switch (fault) {
    case Fault::kNone:
      return true;
    case Fault::kDropFirst:
      packets_.pop_front();
      return true;
    case Fault::kDuplicateFirst:
      if (packets_.front().destination == Destination::kUpstream) return false;
      packets_.push_back(packets_.front());
      return true;
    case Fault::kDeliverSecond:
      if (has_second) std::swap(packets_[0], packets_[1]);
      return has_second;
    case Fault::kDeliverLast:
      if (packets_.size() < 3) return false;
      std::swap(packets_.front(), packets_.back());
      return true;
    case Fault::kOtherBalancer:
      if (packets_.front().destination != Destination::kBalancer) return false;
      packets_.front().index ^= 1;
      return true;
    case Fault::kRetransmit:
      if (final_code_ || sends_left_ == 0) return false;
      Send(1);
      return true;
    case Fault::kExpire:
      now_ += kExpiry;
      return true;
    default:
      return ApplyToFirst(fault);
  }
}

bool PermitSimulation::ApplyToFirst(Fault fault) {
  auto& first = nodes_[0];
  engine::SidecarEffects effects;
  switch (fault) {
    case Fault::kCrashSidecar:
      first.incarnation = Incarnation(Raw(first.incarnation) + 1);
      StartSidecar(0);
      return true;
    case Fault::kCrashUpstream:
      return std::exchange(first.upstream_alive, false);
    case Fault::kUpdateViews:
      UpdateViews();
      return true;
    case Fault::kDrain:
      if (first.sidecar->draining()) return false;
      first.sidecar->StartDrain(effects);
      return true;
    default:
      return false;
  }
}

bool PermitSimulation::Step(Fault fault) {
  if (packets_.empty()) {
    if (fault != Fault::kNone || final_code_ || sends_left_ == 0) return false;
    now_ += kExpiry;
    Send(1);
    return true;
  }
  if (!Apply(fault)) return false;
  now_ += kStepTime;
  if (fault == Fault::kDropFirst) return true;
  auto packet = std::move(packets_.front());
  packets_.pop_front();
  Deliver(std::move(packet));
  return true;
}

void PermitSimulation::Deliver(Packet packet) {
  switch (packet.destination) {
    case Destination::kBalancer: {
      engine::BalancerEffects effects;
      balancers_[packet.index].OnCallerDatagram({flow_, packet.payload}, now_,
                                                effects);
      Collect(packet.index, effects);
      return;
    }
    case Destination::kFrame:
      DeliverFrame(packet);
      return;
    case Destination::kUpstream:
      DeliverToUpstream(packet);
      return;
    case Destination::kSidecar: {
      auto& node = nodes_[packet.index];
      if (node.incarnation != packet.incarnation) return;
      engine::SidecarEffects effects;
      node.sidecar->OnUpstreamDatagram(packet.slot, packet.payload, now_,
                                       effects);
      Collect(packet.index, effects);
      return;
    }
    case Destination::kCaller:
      DeliverToCaller(packet);
      return;
  }
}

void PermitSimulation::DeliverFrame(const Packet& packet) {
  const link::Frame frame{packet.header, packet.payload};
  for (std::size_t i = 0; i < 2; ++i) {
    if (packet.to == BalancerAddress(i)) {
      engine::BalancerEffects effects;
      balancers_[i].OnFrame(frame, packet.from, now_, effects);
      Collect(i, effects);
    }
    if (packet.to == SidecarAddress(i)) {
      engine::SidecarEffects effects;
      nodes_[i].sidecar->OnTick(now_, effects);
      nodes_[i].sidecar->OnFrame(frame, packet.from, now_, effects);
      Collect(i, effects);
    }
  }
}

void PermitSimulation::DeliverToUpstream(const Packet& packet) {
  auto& node = nodes_[packet.index];
  if (!node.upstream_alive) {
    if (node.incarnation != packet.incarnation) return;
    engine::SidecarEffects effects;
    node.sidecar->OnUpstreamRefused(packet.slot, now_, effects);
    Collect(packet.index, effects);
    return;
  }
  LastReason<coap::CoapError> reason;
  const auto request = coap::Parse(packet.payload, reason);
  if (!request || request->code != Code::kPost) return;
  ++runs_;
  auto response_packet = packet;
  response_packet.destination = Destination::kSidecar;
  response_packet.payload =
      Encoded(coap::MakeResponse(*request, Code::kContent));
  packets_.push_back(std::move(response_packet));
}

void PermitSimulation::DeliverToCaller(const Packet& packet) {
  LastReason<coap::CoapError> reason;
  const auto response = coap::Parse(packet.payload, reason);
  const bool expected = response && response->IsResponse() && !final_code_ &&
                        response->token == request_.token;
  if (!expected) return;
  const auto* echo = response->FindOption(OptionNumber::kEcho);
  const bool repeat =
      response->code == Code::kUnauthorized && echo != nullptr && !challenged_;
  if (!repeat) {
    final_code_ = response->code;
    return;
  }
  challenged_ = true;
  request_.message_id = 2;
  request_.token = {2};
  request_.SetOption(OptionNumber::kEcho, echo->value);
  sends_left_ = kSendsPerMessage;
  Send(0);
}

void PermitSimulation::Collect(std::size_t index,
                               engine::SidecarEffects& effects) {
  for (const auto& frame : effects.frames) {
    packets_.push_back({.destination = Destination::kFrame,
                        .to = frame.to,
                        .from = SidecarAddress(index),
                        .header = frame.header,
                        .payload = Copy(frame.payload)});
  }
  for (const auto& datagram : effects.datagrams) {
    packets_.push_back({.destination = Destination::kUpstream,
                        .index = index,
                        .slot = datagram.slot,
                        .incarnation = nodes_[index].incarnation,
                        .payload = Copy(datagram.payload)});
  }
}

void PermitSimulation::Collect(std::size_t index,
                               engine::BalancerEffects& effects) {
  for (const auto& frame : effects.frames) {
    packets_.push_back({.destination = Destination::kFrame,
                        .to = frame.to,
                        .from = BalancerAddress(index),
                        .header = frame.header,
                        .payload = Copy(frame.payload)});
  }
  for (const auto& datagram : effects.datagrams) {
    packets_.push_back({.destination = Destination::kCaller,
                        .payload = Copy(datagram.payload)});
  }
}

}  // namespace cowslip::testing
