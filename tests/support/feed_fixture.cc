#include "support/feed_fixture.h"

namespace cowslip::testing {
namespace {

using coap::Message;
using coap::OptionNumber;
using coap::Type;

Bytes Encoded(const Message& message) {
  LastReason<coap::CoapError> reason;
  return coap::Encode(message, reason).value();
}

Bytes TokenOf(std::uint32_t caller) {
  return {static_cast<std::uint8_t>(caller >> 8),
          static_cast<std::uint8_t>(caller)};
}

}  // namespace

FeedFixture::FeedFixture(std::uint64_t seed, std::uint32_t balancers,
                         std::uint32_t upstreams)
    : network(seed) {
  ticket::Service service;
  service.id = kService;
  service.name = "custody";
  service.address = kAddress;
  service.protocol = ticket::Protocol::kCoap;
  service.idle_timeout = std::chrono::seconds(60);
  network.services()[kService] = service;
  network.on_upstream = [this](auto id, auto slot, auto payload) {
    OnUpstream(id, slot, payload);
  };
  network.on_close = [this](auto id, auto slot) {
    observations_[id].erase(slot);
  };
  network.on_caller = [this](const auto& flow, auto payload) {
    OnCaller(flow, payload);
  };
  for (std::uint32_t i = 1; i <= balancers; ++i) {
    engine::BalancerOptions options;
    options.id = BalancerId(i);
    network.AddBalancer(options);
  }
  for (std::uint32_t i = 1; i <= upstreams; ++i) {
    network.StartSidecar(Options(i));
  }
  network.Publish();
  network.RunFor(std::chrono::seconds(1));
}

engine::SidecarOptions FeedFixture::Options(std::uint32_t id,
                                            std::uint64_t incarnation) {
  engine::SidecarOptions options;
  options.id = UpstreamId(id);
  options.service = kService;
  options.incarnation = Incarnation(incarnation);
  options.slots = 8;
  return options;
}

Endpoint FeedFixture::AnyBalancer() {
  std::vector<Endpoint> alive;
  for (std::uint32_t i = 1; i < 8; ++i) {
    const auto at = VirtualNetwork::BalancerAt(i);
    if (network.IsAlive(at)) alive.push_back(at);
  }
  return alive.at(network.Draw(alive.size()));
}

void FeedFixture::Observe(std::uint32_t caller, const Endpoint& balancer) {
  Message request;
  request.code = coap::Code::kGet;
  request.message_id = static_cast<std::uint16_t>(caller);
  request.token = TokenOf(caller);
  request.SetUintOption(OptionNumber::kObserve, 0);
  feeds[caller].last = network.now();
  network.SendFromCaller(balancer, Flow(caller), Encoded(request));
}

void FeedFixture::OnUpstream(UpstreamId id, flow::FlowSlot slot,
                             ByteView payload) {
  LastReason<coap::CoapError> reason;
  const auto message = coap::Parse(payload, reason);
  if (!message) return;
  auto& observations = observations_[id];
  if (message->type == Type::kAck) {
    const auto found = observations.find(slot);
    ++acks_at_upstreams;
    if (found != observations.end()) found->second.unacknowledged.clear();
    if (found == observations.end() ||
        found->second.message_id != message->message_id) {
      ++foreign_acks;
    }
    return;
  }
  if (message->code != coap::Code::kGet) return;
  auto response = coap::MakeResponse(*message, coap::Code::kContent);
  auto& observation = observations[slot];
  observation.slot = slot;
  observation.token = message->token;
  if (response.type == Type::kNon) {
    response.message_id = ++observation.message_id;
  }
  response.SetUintOption(OptionNumber::kObserve, ++observation.observe);
  const auto text = std::to_string(value);
  response.payload.assign(text.begin(), text.end());
  network.After({}, [this, id, slot, bytes = Encoded(response)] {
    network.SendFromUpstream(id, slot, bytes);
  });
}

void FeedFixture::NotifyEvery(Duration interval, Type type) {
  network.After(interval, [this, interval, type] { Notify(interval, type); });
}

void FeedFixture::Notify(Duration interval, Type type) {
  ++value;
  for (auto& [id, observations] : observations_) {
    for (auto& [slot, observation] : observations) {
      if (AwaitsAck(id, observation)) continue;
      Message notification;
      notification.type = type;
      notification.code = coap::Code::kContent;
      notification.message_id = ++observation.message_id;
      notification.token = observation.token;
      notification.SetUintOption(OptionNumber::kObserve, ++observation.observe);
      const auto text = std::to_string(value);
      notification.payload.assign(text.begin(), text.end());
      const auto bytes = Encoded(notification);
      if (type == Type::kCon && one_at_a_time) {
        observation.unacknowledged = bytes;
        observation.retransmit_delay = std::chrono::seconds(2);
        observation.retransmit_at =
            network.now() + observation.retransmit_delay;
      }
      network.SendFromUpstream(id, slot, bytes);
    }
  }
  NotifyEvery(interval, type);
}

/// @return whether the upstream waits for an acknowledgement. Retransmits the
///     notification if that is due.
bool FeedFixture::AwaitsAck(UpstreamId id, Observation& observation) {
  if (observation.unacknowledged.empty()) return false;
  if (network.now() >= observation.retransmit_at) {
    observation.retransmit_delay *= 2;
    observation.retransmit_at = network.now() + observation.retransmit_delay;
    network.SendFromUpstream(id, observation.slot, observation.unacknowledged);
  }
  return true;
}

void FeedFixture::OnCaller(const FlowKey& flow, ByteView payload) {
  const auto caller = flow.caller.address & 0xffff;
  auto& feed = feeds[caller];
  LastReason<coap::CoapError> reason;
  const auto message = coap::Parse(payload, reason);
  if (!message || message->token != TokenOf(caller)) {
    ++feed.misdelivered;
    return;
  }
  if (message->type == Type::kCon) {
    const auto [known, added] =
        feed.confirmables.try_emplace(message->message_id, message->payload);
    if (!added && known->second != message->payload) ++feed.id_conflicts;
    // The client of libcoap 4.3.1 ignores a message id that it has received
    // before, and does not acknowledge it again.
    if (feed.last_confirmable == message->message_id) return;
    feed.last_confirmable = message->message_id;
  }
  constexpr std::uint64_t kPercent = 100;
  const bool lost = static_cast<double>(network.Draw(kPercent)) <
                    acknowledgement_loss * kPercent;
  if (message->type == Type::kCon && acknowledges && !lost) {
    Message ack;
    ack.type = Type::kAck;
    ack.message_id = message->message_id;
    network.SendFromCaller(AnyBalancer(), flow, Encoded(ack));
  }
  const std::string text(message->payload.begin(), message->payload.end());
  if (!text.empty()) feed.values.insert(std::stoull(text));
  const auto observe =
      message->FindUintOption(OptionNumber::kObserve).value_or(0);
  if (observe <= feed.last_observe) {
    ++feed.stale;
    return;
  }
  feed.last_observe = observe;
  feed.longest_gap = std::max(feed.longest_gap, network.now() - feed.last);
  feed.last = network.now();
  ++feed.notifications;
  if (text.empty()) return;
  const auto number = std::stoull(text);
  if (number < feed.last_value) ++feed.reordered;
  feed.last_value = number;
}

std::vector<UpstreamId> FeedFixture::Owners(std::uint32_t caller) const {
  std::vector<UpstreamId> owners;
  for (const auto& [id, observations] : observations_) {
    for (const auto& [slot, observation] : observations) {
      if (observation.token == TokenOf(caller)) owners.push_back(id);
    }
  }
  return owners;
}

}  // namespace cowslip::testing
