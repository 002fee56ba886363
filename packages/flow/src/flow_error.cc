#include "cowslip/flow/flow_error.h"

namespace cowslip::flow {

std::string_view ErrorMessage(FlowError error) {
  switch (error) {
    case FlowError::kOk:
      return "ok";
    case FlowError::kBadCapacity:
      return "the capacity must be at least 1";
  }
  return "unknown error";
}

}  // namespace cowslip::flow
