#include "support/request_fixture.h"

namespace cowslip::testing {
namespace {

const Endpoint kBalancer = VirtualNetwork::BalancerAt(1);

Bytes Encoded(const coap::Message& message) {
  LastReason<coap::CoapError> reason;
  return coap::Encode(message, reason).value();
}

coap::Message Decoded(ByteView payload) {
  LastReason<coap::CoapError> reason;
  return coap::Parse(payload, reason).value();
}

}  // namespace

RequestFixture::RequestFixture(std::uint32_t upstreams, std::uint32_t slots,
                               std::uint32_t max_queue) {
  ticket::Service service;
  service.id = kService;
  service.name = "custody";
  service.address = kAddress;
  service.protocol = ticket::Protocol::kCoap;
  service.prefer = ticket::Preference::kBalance;
  service.max_queue = max_queue;
  network.services()[kService] = service;
  engine::BalancerOptions balancer;
  balancer.id = BalancerId(1);
  network.AddBalancer(balancer);
  for (std::uint32_t id = 1; id <= upstreams; ++id) {
    engine::SidecarOptions options;
    options.id = UpstreamId(id);
    options.service = kService;
    options.incarnation = Incarnation(1);
    options.slots = slots;
    options.permit_key.fill(static_cast<std::uint8_t>(id));
    network.StartSidecar(options);
    network.members()[options.id].joined -= std::chrono::hours(1);
  }
  network.Publish();
  network.on_upstream = [this](UpstreamId id, flow::FlowSlot slot,
                               ByteView payload) {
    arrivals.push_back({id, slot, Decoded(payload)});
  };
  network.on_caller = [this](const FlowKey&, ByteView payload) {
    responses.push_back(Decoded(payload));
  };
  Settle();
}

coap::Message RequestFixture::Request(coap::Code code, std::uint16_t number) {
  coap::Message message;
  message.code = code;
  message.message_id = number;
  message.token = {static_cast<std::uint8_t>(number >> 8),
                   static_cast<std::uint8_t>(number)};
  message.SetOption(coap::OptionNumber::kUriPath, {'x'});
  return message;
}

void RequestFixture::Send(std::uint32_t caller, const coap::Message& message) {
  network.SendFromCaller(kBalancer, Flow(caller), Encoded(message));
  Settle();
}

void RequestFixture::Answer(const Arrival& arrival,
                            const coap::Message& response) {
  network.SendFromUpstream(arrival.upstream, arrival.slot, Encoded(response));
  Settle();
}

std::optional<coap::Message> RequestFixture::Post(std::uint32_t caller,
                                                  std::uint16_t number) {
  const auto before = responses.size();
  Send(caller, Request(coap::Code::kPost, number));
  if (responses.size() == before) return std::nullopt;
  const auto challenge = responses.back();
  const auto* echo = challenge.FindOption(coap::OptionNumber::kEcho);
  if (echo == nullptr) return challenge;
  constexpr std::uint16_t kRepeatedIdBit = 0x4000;
  auto repeated = Request(coap::Code::kPost, number | kRepeatedIdBit);
  repeated.SetOption(coap::OptionNumber::kEcho, echo->value);
  Send(caller, repeated);
  if (responses.size() == before + 1) return std::nullopt;
  return responses.back();
}

void RequestFixture::RefuseAt(const Arrival& arrival) {
  network.WithSidecar(arrival.upstream, [&](auto& sidecar, auto& effects) {
    sidecar.OnUpstreamRefused(arrival.slot, network.now(), effects);
  });
  Settle();
}

}  // namespace cowslip::testing
