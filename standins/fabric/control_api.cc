#include "standins/fabric/control_api.h"

#include "standins/common/arguments.h"

namespace cowslip::standin {
namespace {

/// Sets a probability from a parameter if it is given.
/// @return false if the parameter is malformed.
bool Read(const HttpRequest& request, const std::string& name,
          double& probability) {
  if (!request.Has(name)) return true;
  const auto value = ParseProbability(request.Parameter(name));
  if (value) probability = *value;
  return value.has_value();
}

/// Sets a duration from a parameter if it is given.
/// @return false if the parameter is malformed.
bool Read(const HttpRequest& request, const std::string& name,
          std::chrono::milliseconds& duration) {
  if (!request.Has(name)) return true;
  const auto value = request.Number(name);
  if (value) duration = std::chrono::milliseconds(*value);
  return value.has_value();
}

}  // namespace

HttpResponse ControlApi::Handle(const HttpRequest& request) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  HttpResponse response;
  if (request.method == "GET" && request.path == "/stats") {
    response.body = state_.stats().ToJson();
    return response;
  }
  const bool is_put = request.method == "PUT";
  if (is_put && request.path == "/balancer") {
    response.status = SetBalancer(request) ? response.status : kBadRequest;
  } else if (is_put && request.path == "/faults") {
    response.status = SetFaults(request) ? response.status : kBadRequest;
  } else {
    response.status = kNotFound;
  }
  response.body = response.status < kBadRequest ? "true" : "false";
  return response;
}

bool ControlApi::SetBalancer(const HttpRequest& request) {
  const auto prefix = ParseAddress(request.Parameter("prefix"));
  const auto on = request.Number("on");
  if (!prefix || !on) return false;
  state_.SetBalancer(*prefix, *on != 0);
  return true;
}

bool ControlApi::SetFaults(const HttpRequest& request) {
  auto faults = state_.faults();
  const bool is_valid = Read(request, "loss", faults.loss) &&
                        Read(request, "duplicate", faults.duplicate) &&
                        Read(request, "reorder_ms", faults.reorder) &&
                        Read(request, "reorder_share", faults.reorder_share) &&
                        Read(request, "delay_ms", faults.delay);
  if (is_valid) state_.SetFaults(faults);
  return is_valid;
}

}  // namespace cowslip::standin
