#include "standins/upstream/health_api.h"

#include <nlohmann/json.hpp>

namespace cowslip::standin {

HttpResponse HealthApi::Handle(const HttpRequest& request) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  nlohmann::json json = nlohmann::json::object();
  HttpResponse response;
  const bool is_get = request.method == "GET";
  if (is_get && request.path == "/health") {
    json["healthy"] = report_.ReportedHealth();
  } else if (is_get && request.path == "/load") {
    const auto load = report_.ReportedLoad();
    json["in_progress"] = load.in_progress;
    json["queued"] = load.queued;
  } else if (request.method == "PUT" && request.path == "/lie") {
    response.status = report_.SetMode(request.Parameter("mode"))
                          ? response.status
                          : kBadRequest;
  } else {
    response.status = kNotFound;
  }
  response.body = json.dump();
  return response;
}

}  // namespace cowslip::standin
