#pragma once

#include "standins/common/http_request.h"
#include "standins/common/http_response.h"
#include "standins/store/faults.h"
#include "standins/store/store.h"

namespace cowslip::standin {

/// The HTTP API below /fault/, which switches faults of the store on and off.
class FaultApi {
 public:
  FaultApi(Store& store, Faults& faults) : store_(store), faults_(faults) {}

  HttpResponse Handle(const HttpRequest& request);

 private:
  bool Apply(const HttpRequest& request);

  Store& store_;
  Faults& faults_;
};

}  // namespace cowslip::standin
