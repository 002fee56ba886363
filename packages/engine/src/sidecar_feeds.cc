// Sidecar: tracking of observations (RFC 7641), and their handover from a
// draining sidecar to another one.
#include "coap_peek.h"
#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

/// Time after which a handover that is not acknowledged is sent again.
constexpr std::chrono::milliseconds kHandoverRetry{100};
/// Handover frames sent to one successor before the next in rank is tried.
constexpr std::uint32_t kTriesPerSuccessor = 3;
// Values of the Observe option in requests (RFC 7641 section 2).
constexpr std::uint32_t kRegister = 0;
constexpr std::uint32_t kDeregister = 1;

}  // namespace

using coap::Message;
using coap::OptionNumber;
using link::Frame;
using link::FrameKind;

/// Updates the observations of a flow according to a message of its caller: a
/// registration, a deregistration, or the answer to a notification.
/// @return true if the message was forwarded to the upstream.
bool Sidecar::TrackCallerMessage(flow::FlowSlot slot, ByteView payload,
                                 SidecarEffects& effects) {
  if (payload.size() < kCoapHeaderBytes) return false;
  if (IsAnswer(payload)) {
    auto* feed = observations_.Find(slot);
    if (feed == nullptr) return false;
    effects.datagrams.push_back(
        {slot, effects.scratch.Store(feed->RewriteForUpstream(payload))});
    return true;
  }
  if (coap::Code(payload[1]) != coap::Code::kGet) return false;
  LastReason<coap::CoapError> reason;
  const auto request = coap::Parse(payload, reason);
  const auto observe_value =
      request ? request->FindUintOption(OptionNumber::kObserve) : std::nullopt;
  if (observe_value == kRegister && !observations_.Register(slot, *request)) {
    counters_->Add(Counter::kFeedsNotTracked);
  }
  if (observe_value == kDeregister) observations_.Cancel(slot, request->token);
  return false;
}

/// Rewrites the message id and Observe number of an upstream's message, if the
/// flow has observations.
/// @return false if the message is not to be sent to the caller.
bool Sidecar::TrackUpstreamMessage(flow::FlowSlot slot, Message& message,
                                   SidecarEffects& effects) {
  if (message.FindOption(OptionNumber::kObserve) != nullptr) {
    // Notifications keep the flow from expiring: the upstream ends an
    // observation whose caller does not answer.
    flows_.Touch(slot, now_);
    auto& flow = flows_.At(slot);
    if (!flow.delegated) RefreshRedirects(flow, effects);
  }
  auto* feed = observations_.Find(slot);
  if (feed == nullptr) return true;
  const auto outcome = feed->RewriteForCaller(message, now_);
  if (outcome == Feed::Disposition::kSuppress) return false;
  observations_.Schedule(slot, feed->NextRetransmission());
  auto* observation = feed->Find(message.token);
  if (observation != nullptr && observation->predecessor_sequence != 0) {
    AckHandover(flows_.At(slot).key, *observation, effects);
    observation->predecessor_sequence = 0;
  }
  return true;
}

void Sidecar::RetransmitNotifications(SidecarEffects& effects) {
  for (const auto slot : observations_.TakeDue(now_)) {
    auto& feed = *observations_.Find(slot);
    for (const auto& message : feed.TakeRetransmissions(now_)) {
      counters_->Add(Counter::kNotificationsRepeated);
      ReplyMessage(slot, message, effects);
    }
    observations_.Schedule(slot, feed.NextRetransmission());
  }
}

void Sidecar::AckHandover(const FlowKey& key, const Observation& observation,
                          SidecarEffects& effects) {
  counters_->Add(Counter::kHandoversTaken);
  auto ack = MakeHeader(FrameKind::kObservationHandoverAck);
  ack.flow = key;
  ack.sequence = observation.predecessor_sequence;
  effects.frames.push_back({observation.predecessor, ack, {}});
}

/// Takes an observation over from a draining sidecar: registers it at the
/// upstream of this sidecar on behalf of the caller.
void Sidecar::OnHandover(const Frame& frame, const Endpoint& from,
                         SidecarEffects& effects) {
  const auto& header = frame.header;
  if (!IsForThisService(header) || !AcceptsNewWork()) return;
  LastReason<coap::CoapError> reason;
  auto request = coap::Parse(frame.payload, reason);
  if (!request) return;
  const bool already_owned = Owns(header.flow);
  const auto slot = TakeOwnership(header.flow, now_);
  if (slot && !already_owned) flows_.At(*slot).balancer = header.balancer;
  auto* observation = slot ? observations_.TakeOver(*slot, *request) : nullptr;
  if (observation == nullptr) {
    counters_->Add(Counter::kFlowsRefused);
    return;
  }
  redirects_.Erase(header.flow);
  observation->predecessor = from;
  observation->predecessor_sequence = header.sequence;
  if (observation->observe_offset) {
    AckHandover(header.flow, *observation, effects);
    observation->predecessor_sequence = 0;
    return;
  }
  request->type = coap::Type::kNon;
  request->SetUintOption(OptionNumber::kObserve, kRegister);
  auto bytes = coap::Encode(*request, reason);
  if (!bytes) return;
  AddRequest(*slot, *request, *bytes);
  effects.datagrams.push_back(
      {*slot, effects.scratch.Store(std::move(*bytes))});
}

void Sidecar::HandOverFeeds(SidecarEffects& effects) {
  if (!draining_ || service_ == nullptr) return;
  for (const auto slot : observations_.Slots()) {
    auto& feed = *observations_.Find(slot);
    if (runs_.HasRunOf(slot)) continue;
    for (auto& observation : feed.observations) {
      if (observation.handed_over || observation.next_handover > now_) continue;
      SendHandover(slot, feed, observation, effects);
    }
  }
}

/// @param tries handover frames sent so far.
/// @return the upstream to hand an observation over to, in the order of rank,
///     or nullptr if there is none.
const Upstream* Sidecar::ChooseSuccessor(const FlowKey& key,
                                         std::uint32_t tries) {
  std::vector<const Upstream*> eligible;
  for (const auto* upstream : RankedUpstreams(key)) {
    if (upstream->id == options_.id) continue;
    if (upstream->state != UpstreamState::kActive) continue;
    if (!detector_.IsUnresponsive(upstream->id)) eligible.push_back(upstream);
  }
  if (eligible.empty()) return nullptr;
  return eligible[tries / kTriesPerSuccessor % eligible.size()];
}

void Sidecar::SendHandover(flow::FlowSlot slot, const Feed& feed,
                           Observation& observation, SidecarEffects& effects) {
  const auto& flow = flows_.At(slot);
  const auto* successor = ChooseSuccessor(flow.key, observation.handovers);
  observation.next_handover = now_ + kHandoverRetry;
  if (successor == nullptr) return;
  ++observation.handovers;
  if (observation.sequence == 0) observation.sequence = ++last_handover_;
  auto request = observation.request;
  request.message_id = feed.last_id();
  request.SetUintOption(OptionNumber::kObserve, observation.last_sent);
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(request, reason);
  if (!bytes) return;
  auto header = MakeHeader(FrameKind::kObservationHandover);
  header.flow = flow.key;
  header.balancer = flow.balancer;
  header.sequence = observation.sequence;
  counters_->Add(Counter::kHandoversSent);
  effects.frames.push_back(
      {successor->sidecar, header, effects.scratch.Store(std::move(*bytes))});
  if (detector_.OnSent(successor->id, now_)) SendProbe(*successor, effects);
}

void Sidecar::OnHandoverAck(const Frame& frame, SidecarEffects& effects) {
  const auto& header = frame.header;
  const auto slot = flows_.Find(header.flow);
  auto* feed = slot ? observations_.Find(*slot) : nullptr;
  if (feed == nullptr || header.sequence == 0) return;
  for (auto& observation : feed->observations) {
    if (observation.sequence == header.sequence) observation.handed_over = true;
  }
  if (!feed->IsHandedOver() || runs_.HasRunOf(*slot)) return;
  EndFlow(*slot, effects);
  redirects_.Insert(header.flow, UpstreamId(header.sender), header.incarnation,
                    now_);
}

}  // namespace cowslip::engine
