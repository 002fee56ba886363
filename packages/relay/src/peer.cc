#include "cowslip/relay/peer.h"

#include <nlohmann/json.hpp>

namespace cowslip::relay {
namespace {

constexpr std::string_view kPrefix = "cowslip/instances/";

}  // namespace

std::string_view InstancePrefix() { return kPrefix; }

std::string InstancePrefix(std::string_view data_center) {
  return std::string(kPrefix) + std::string(data_center) + "/";
}

std::string InstanceKey(const Peer& peer) {
  return InstancePrefix(peer.data_center) + peer.instance;
}

std::string EncodePeer(const Peer& peer) {
  return nlohmann::json{{"instance", peer.instance},
                        {"data_center", peer.data_center},
                        {"control", ToString(peer.control)}}
      .dump();
}

std::optional<Peer> DecodePeer(std::string_view json,
                               LastReason<RelayError>& reason) {
  try {
    const auto parsed = nlohmann::json::parse(json);
    const auto control = ParseEndpoint(parsed.at("control").get<std::string>());
    if (control) {
      return Peer{parsed.at("instance").get<std::string>(),
                  parsed.at("data_center").get<std::string>(), *control};
    }
    reason.Set(RelayError::kBadPeer, "control");
  } catch (const nlohmann::json::exception& error) {
    reason.Set(RelayError::kBadPeer, error.what());
  }
  return std::nullopt;
}

}  // namespace cowslip::relay
