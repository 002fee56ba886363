#include "cowslip/permit/permit_error.h"

namespace cowslip::permit {

std::string_view ErrorMessage(PermitError error) {
  switch (error) {
    case PermitError::kOk:
      return "ok";
    case PermitError::kMalformed:
      return "the value of the Echo option is not a permit";
    case PermitError::kForged:
      return "the permit's authentication code is wrong";
    case PermitError::kBadCapacity:
      return "the capacity must be at least 1";
  }
  return "unknown error";
}

}  // namespace cowslip::permit
