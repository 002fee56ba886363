#include "cowslip/registry/registry_error.h"

namespace cowslip::registry {

std::string_view ErrorMessage(RegistryError error) {
  switch (error) {
    case RegistryError::kOk:
      return "ok";
    case RegistryError::kInvalid:
      return "the ticket is invalid";
    case RegistryError::kNumberTaken:
      return "another operator's write came first";
    case RegistryError::kNumberNotNext:
      return "the ticket number is not the next one";
    case RegistryError::kUnavailable:
      return "the store can't be reached; the ticket was not accepted";
    case RegistryError::kOutcomeUnknown:
      return "the store did not answer, so the outcome is unknown; try again";
    case RegistryError::kNotFound:
      return "there is no such ticket";
    case RegistryError::kBadSnapshot:
      return "the snapshot in the store is malformed";
  }
  return "unknown error";
}

}  // namespace cowslip::registry
