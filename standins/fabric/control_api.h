#pragma once

#include "standins/common/http_request.h"
#include "standins/common/http_response.h"
#include "standins/fabric/fabric_state.h"

namespace cowslip::standin {

/// The HTTP API of the fabric: PUT /balancer, PUT /faults and GET /stats.
class ControlApi {
 public:
  explicit ControlApi(FabricState& state) : state_(state) {}

  HttpResponse Handle(const HttpRequest& request);

 private:
  bool SetBalancer(const HttpRequest& request);
  bool SetFaults(const HttpRequest& request);

  FabricState& state_;
};

}  // namespace cowslip::standin
