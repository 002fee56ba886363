#pragma once

#include "standins/common/http_request.h"
#include "standins/common/http_response.h"
#include "standins/upstream/load_report.h"

namespace cowslip::standin {

/// The HTTP API of an upstream: GET /health, GET /load and PUT /lie. The last
/// one selects whether health and load are misreported.
class HealthApi {
 public:
  explicit HealthApi(LoadReport& report) : report_(report) {}

  HttpResponse Handle(const HttpRequest& request);

 private:
  LoadReport& report_;
};

}  // namespace cowslip::standin
