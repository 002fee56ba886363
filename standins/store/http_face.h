#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "standins/common/http_request.h"
#include "standins/common/http_response.h"
#include "standins/store/fault_api.h"
#include "standins/store/faults.h"
#include "standins/store/store.h"
#include "standins/store/store_stats.h"

namespace cowslip::standin {

/// Serves the Consul KV HTTP API with injected faults, /fault/ and /stats.
class HttpFace {
 public:
  /// @param min_ttl lower limit of a session's TTL.
  HttpFace(Store& store, std::chrono::milliseconds min_ttl)
      : store_(store), min_ttl_(min_ttl), fault_api_(store, faults_) {}

  /// @return std::nullopt to close the connection without an answer.
  std::optional<HttpResponse> Handle(const HttpRequest& request);

 private:
  std::optional<HttpResponse> HandleApi(const HttpRequest& request);
  HttpResponse Route(const HttpRequest& request);
  HttpResponse ReadKeys(const HttpRequest& request);
  HttpResponse WriteKey(const HttpRequest& request);
  HttpResponse DeleteKeys(const HttpRequest& request);
  HttpResponse HandleSession(const HttpRequest& request);
  HttpResponse CreateSession(const HttpRequest& request);
  HttpResponse RenewSession(const std::string& id);

  Store& store_;
  const std::chrono::milliseconds min_ttl_;
  Faults faults_;
  StoreStats stats_;
  FaultApi fault_api_;
};

}  // namespace cowslip::standin
