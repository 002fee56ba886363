#include "standins/common/standin_error.h"

namespace cowslip::standin {

std::string_view ErrorMessage(StandinError error) {
  switch (error) {
    case StandinError::kOk:
      return "ok";
    case StandinError::kBadArgument:
      return "bad argument";
    case StandinError::kCannotListen:
      return "cannot listen";
    case StandinError::kSystem:
      return "system call failed";
  }
  return "unknown error";
}

}  // namespace cowslip::standin
