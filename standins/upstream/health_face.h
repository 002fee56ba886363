#pragma once

#include "standins/common/http_request.h"
#include "standins/common/http_response.h"
#include "standins/upstream/load_report.h"

namespace cowslip::standin {

/// Serves GET /health, GET /load and PUT /lie.
class HealthFace {
 public:
  explicit HealthFace(LoadReport& report) : report_(report) {}

  HttpResponse Handle(const HttpRequest& request);

 private:
  LoadReport& report_;
};

}  // namespace cowslip::standin
