// Observations: tracking them, and handing them over to another sidecar.
#include "coap_peek.h"
#include "cowslip/engine/sidecar.h"

namespace cowslip::engine {
namespace {

constexpr std::chrono::milliseconds kHandoverRetry{100};
/// Frames sent to one successor before the next in rank is tried.
constexpr std::uint32_t kTriesPerSuccessor = 3;
constexpr std::uint32_t kRegister = 0;
constexpr std::uint32_t kDeregister = 1;

}  // namespace

using coap::Message;
using coap::OptionNumber;
using link::Frame;
using link::FrameKind;

/// Notes what a caller's message means for the observations of its flow.
/// @return true if the message was sent on to the upstream.
bool Sidecar::TrackCallerMessage(flow::FlowSlot slot, ByteView payload,
                                 SidecarEffects& effects) {
  if (payload.size() < kCoapHeaderBytes) return false;
  if (IsAnswer(payload)) {
    auto* feed = observations_.Find(slot);
    if (feed == nullptr) return false;
    effects.datagrams.push_back(
        {slot, effects.scratch.Keep(feed->ToUpstream(payload))});
    return true;
  }
  if (coap::Code(payload[1]) != coap::Code::kGet) return false;
  LastReason<coap::CoapError> reason;
  const auto request = coap::Parse(payload, reason);
  const auto observe =
      request ? request->FindUintOption(OptionNumber::kObserve) : std::nullopt;
  if (observe == kRegister && !observations_.Register(slot, *request)) {
    counters_->Add(Counter::kFeedsNotTracked);
  }
  if (observe == kDeregister) observations_.Cancel(slot, request->token);
  return false;
}

/// Rewrites the numbers of an upstream's message on a flow with a feed.
/// @return false if the message is not for the caller.
bool Sidecar::TrackUpstreamMessage(flow::FlowSlot slot, Message& message,
                                   SidecarEffects& effects) {
  if (message.FindOption(OptionNumber::kObserve) != nullptr) {
    // A feed lives as long as its upstream finds the caller alive.
    flows_.Touch(slot, now_);
    auto& flow = flows_.At(slot);
    if (!flow.guest) RefreshRedirects(flow, effects);
  }
  auto* feed = observations_.Find(slot);
  if (feed == nullptr) return true;
  const auto outcome = feed->ToCaller(message, now_);
  if (outcome == Feed::Outcome::kAbsorb) return false;
  observations_.Schedule(slot, feed->NextRepeat());
  auto* observation = feed->Find(message.token);
  if (observation != nullptr && observation->predecessor_sequence != 0) {
    AckHandover(flows_.At(slot).key, *observation, effects);
    observation->predecessor_sequence = 0;
  }
  return true;
}

void Sidecar::RepeatNotifications(SidecarEffects& effects) {
  for (const auto slot : observations_.TakeDue(now_)) {
    auto& feed = *observations_.Find(slot);
    for (const auto& message : feed.TakeRepeats(now_)) {
      counters_->Add(Counter::kNotificationsRepeated);
      ReplyMessage(slot, message, effects);
    }
    observations_.Schedule(slot, feed.NextRepeat());
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

/// Continues an observation of a draining upstream at this one.
void Sidecar::OnHandover(const Frame& frame, const Endpoint& from,
                         SidecarEffects& effects) {
  const auto& header = frame.header;
  if (!IsForThisService(header) || !AdmitsWork()) return;
  LastReason<coap::CoapError> reason;
  auto request = coap::Parse(frame.payload, reason);
  if (!request) return;
  const bool known = Owns(header.flow);
  const auto slot = Own(header.flow, now_);
  if (slot && !known) flows_.At(*slot).balancer = header.balancer;
  auto* observation = slot ? observations_.TakeOver(*slot, *request) : nullptr;
  if (observation == nullptr) {
    counters_->Add(Counter::kFlowsRefused);
    return;
  }
  redirects_.Erase(header.flow);
  observation->predecessor = from;
  observation->predecessor_sequence = header.sequence;
  if (observation->shift) {
    AckHandover(header.flow, *observation, effects);
    observation->predecessor_sequence = 0;
    return;
  }
  request->type = coap::Type::kNon;
  request->SetUintOption(OptionNumber::kObserve, kRegister);
  auto bytes = coap::Encode(*request, reason);
  if (!bytes) return;
  NoteRequest(*slot, *request, *bytes);
  effects.datagrams.push_back({*slot, effects.scratch.Keep(std::move(*bytes))});
}

void Sidecar::HandOverFeeds(SidecarEffects& effects) {
  if (!draining_ || service_ == nullptr) return;
  for (const auto slot : observations_.Slots()) {
    auto& feed = *observations_.Find(slot);
    if (runs_.Has(slot)) continue;
    for (auto& observation : feed.observations) {
      if (observation.handed_over || observation.next_handover > now_) continue;
      SendHandover(slot, feed, observation, effects);
    }
  }
}

/// @return the successor to try, the first-ranked one first, or nullptr.
const Upstream* Sidecar::Successor(const FlowKey& key, std::uint32_t tries) {
  std::vector<const Upstream*> able;
  for (const auto* upstream : RankedFor(key)) {
    if (upstream->id == options_.id) continue;
    if (upstream->state != UpstreamState::kActive) continue;
    if (!contacts_.IsSilent(upstream->id)) able.push_back(upstream);
  }
  if (able.empty()) return nullptr;
  return able[tries / kTriesPerSuccessor % able.size()];
}

void Sidecar::SendHandover(flow::FlowSlot slot, const Feed& feed,
                           Observation& observation, SidecarEffects& effects) {
  const auto& flow = flows_.At(slot);
  const auto* successor = Successor(flow.key, observation.handovers);
  observation.next_handover = now_ + kHandoverRetry;
  if (successor == nullptr) return;
  ++observation.handovers;
  if (observation.sequence == 0) observation.sequence = ++last_handover_;
  auto request = observation.request;
  request.message_id = feed.last_id();
  request.SetUintOption(OptionNumber::kObserve, observation.last_told);
  LastReason<coap::CoapError> reason;
  auto bytes = coap::Encode(request, reason);
  if (!bytes) return;
  auto header = MakeHeader(FrameKind::kObservationHandover);
  header.flow = flow.key;
  header.balancer = flow.balancer;
  header.sequence = observation.sequence;
  counters_->Add(Counter::kHandoversSent);
  effects.frames.push_back(
      {successor->sidecar, header, effects.scratch.Keep(std::move(*bytes))});
  if (contacts_.OnSent(successor->id, now_)) SendProbe(*successor, effects);
}

void Sidecar::OnHandoverAck(const Frame& frame, SidecarEffects& effects) {
  const auto& header = frame.header;
  const auto slot = flows_.Find(header.flow);
  auto* feed = slot ? observations_.Find(*slot) : nullptr;
  if (feed == nullptr || header.sequence == 0) return;
  for (auto& observation : feed->observations) {
    if (observation.sequence == header.sequence) observation.handed_over = true;
  }
  if (!feed->HandedOver() || runs_.Has(*slot)) return;
  EndFlow(*slot, effects);
  redirects_.Insert(header.flow, UpstreamId(header.sender), header.incarnation,
                    now_);
}

}  // namespace cowslip::engine
