#include "standins/store/fault_api.h"

namespace cowslip::standin {

HttpResponse FaultApi::Handle(const HttpRequest& request) {
  constexpr int kBadRequest = 400;
  constexpr int kMethodNotAllowed = 405;
  HttpResponse response;
  if (request.method != "PUT") {
    response.status = kMethodNotAllowed;
  } else if (!Apply(request)) {
    response.status = kBadRequest;
  }
  response.body = response.status < kBadRequest ? "true" : "false";
  return response;
}

bool FaultApi::Apply(const HttpRequest& request) {
  const auto on = request.Number("on");
  if (request.path == "/fault/lapse") {
    store_.EndAllSessions();
    return true;
  }
  if (request.path == "/fault/copy") {
    store_.SaveCopy();
    return true;
  }
  if (request.path == "/fault/restore") {
    store_.RestoreCopy();
    return true;
  }
  if (request.path == "/fault/down" && on) {
    faults_.SetDown(*on != 0);
    store_.WakeAllWatches();
    return true;
  }
  if (request.path == "/fault/deny" && on && request.Has("source")) {
    faults_.SetDenied(request.Parameter("source"), *on != 0);
    store_.WakeAllWatches();
    return true;
  }
  if (request.path == "/fault/slow" && request.Number("ms")) {
    faults_.SetDelay(std::chrono::milliseconds(*request.Number("ms")));
    return true;
  }
  if (request.path == "/fault/lose_answer" && request.Number("count")) {
    faults_.LoseAnswers(*request.Number("count"));
    return true;
  }
  return false;
}

}  // namespace cowslip::standin
