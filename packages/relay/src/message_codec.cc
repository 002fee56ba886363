#include "cowslip/relay/message_codec.h"

#include <nlohmann/json.hpp>

namespace cowslip::relay {
namespace {

using Json = nlohmann::json;

/// Values of the JSON key "t", the type of the message.
constexpr char kHello[] = "hello";
constexpr char kBeat[] = "b";
constexpr char kWant[] = "want";
constexpr char kPeers[] = "peers";
constexpr char kTicket[] = "ticket";
constexpr char kEntry[] = "item";

Json ToJson(const Peer& peer) {
  return {{"i", peer.instance},
          {"dc", peer.data_center},
          {"c", ToString(peer.control)}};
}

Json ToJson(const Hello& hello) {
  Json services = Json::array();
  for (const auto id : hello.interest.services) services.push_back(Raw(id));
  return {{"t", kHello},
          {"self", ToJson(hello.self)},
          {"n", Raw(hello.ticket.number)},
          {"te", hello.ticket.era},
          {"x", hello.position.revision},
          {"e", hello.position.era},
          {"all", hello.interest.all},
          {"s", std::move(services)},
          {"d", hello.store_distance}};
}

Json ToJson(const Heartbeat& heartbeat) {
  return {{"t", kBeat},
          {"n", Raw(heartbeat.ticket.number)},
          {"te", heartbeat.ticket.era},
          {"d", heartbeat.store_distance}};
}

Json ToJson(const TicketRequest& want) {
  return {
      {"t", kWant}, {"n", Raw(want.ticket.number)}, {"te", want.ticket.era}};
}

Json ToJson(const PeerList& peers) {
  Json list = Json::array();
  for (const auto& peer : peers.peers) list.push_back(ToJson(peer));
  return {{"t", kPeers}, {"p", std::move(list)}};
}

Json ToJson(const TicketText& ticket) {
  return {{"t", kTicket},
          {"n", Raw(ticket.number)},
          {"te", ticket.era},
          {"fold", ticket.snapshot},
          {"v", ticket.text}};
}

Json ToJson(const StoreEntry& entry) {
  return {{"t", kEntry},
          {"k", entry.key},
          {"v", entry.value},
          {"x", entry.position.revision},
          {"e", entry.position.era}};
}

Peer PeerFrom(const Json& json) {
  const auto control = ParseEndpoint(json.at("c").get<std::string>());
  return {json.at("i").get<std::string>(), json.at("dc").get<std::string>(),
          control.value_or(Endpoint{})};
}

// Builds before eras were introduced send none.

TicketPosition TicketFrom(const Json& json) {
  return {json.value("te", std::uint64_t{0}),
          TicketNumber(json.at("n").get<std::uint64_t>())};
}

StorePosition PositionFrom(const Json& json) {
  return {json.value("e", std::uint64_t{0}), json.at("x").get<std::uint64_t>()};
}

StoreDistance DepthFrom(const Json& json) {
  return std::min(json.at("d").get<StoreDistance>(), kNoStorePath);
}

Hello HelloFrom(const Json& json) {
  Hello hello{PeerFrom(json.at("self")),
              TicketFrom(json),
              PositionFrom(json),
              {},
              DepthFrom(json)};
  hello.interest.all = json.at("all").get<bool>();
  for (const auto& id : json.at("s")) {
    hello.interest.services.push_back(ServiceId(id.get<std::uint32_t>()));
  }
  return hello;
}

PeerList PeersFrom(const Json& json) {
  PeerList peers;
  for (const auto& peer : json.at("p")) peers.peers.push_back(PeerFrom(peer));
  return peers;
}

std::optional<Message> FromJson(const Json& json) {
  const auto type = json.at("t").get<std::string>();
  if (type == kHello) return HelloFrom(json);
  if (type == kBeat) return Heartbeat{TicketFrom(json), DepthFrom(json)};
  if (type == kWant) return TicketRequest{TicketFrom(json)};
  if (type == kPeers) return PeersFrom(json);
  if (type == kTicket) {
    const auto position = TicketFrom(json);
    return TicketText{position.number, json.at("fold").get<bool>(),
                      json.at("v").get<std::string>(), position.era};
  }
  if (type == kEntry) {
    return StoreEntry{json.at("k").get<std::string>(),
                      json.at("v").get<std::string>(), PositionFrom(json)};
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  const auto json =
      std::visit([](const auto& typed) { return ToJson(typed); }, message);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::optional<Message> DecodeMessage(std::string_view line,
                                     LastReason<RelayError>& reason) {
  try {
    auto message = FromJson(Json::parse(line));
    if (message) return message;
    reason.Set(RelayError::kBadMessage, "type");
  } catch (const Json::exception& error) {
    reason.Set(RelayError::kBadMessage, error.what());
  }
  return std::nullopt;
}

}  // namespace cowslip::relay
