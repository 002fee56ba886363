#include "standins/fabric/fabric_stats.h"

#include <nlohmann/json.hpp>

namespace cowslip::standin {

std::string FabricStats::ToJson() const {
  nlohmann::json json;
  json["from_callers"] = from_callers.load();
  json["to_balancers"] = to_balancers.load();
  json["from_balancers"] = from_balancers.load();
  json["to_callers"] = to_callers.load();
  json["lost"] = lost.load();
  json["duplicated"] = duplicated.load();
  json["foreign_replies"] = foreign_replies.load();
  json["without_balancer"] = without_balancer.load();
  json["without_socket"] = without_socket.load();
  json["send_failures"] = send_failures.load();
  json["callers"] = callers.load();
  return json.dump();
}

}  // namespace cowslip::standin
