#include "cowslip/registry/registry_error.h"

namespace cowslip::registry {

std::string_view ErrorMessage(RegistryError error) {
  switch (error) {
    case RegistryError::kOk:
      return "ok";
    case RegistryError::kInvalid:
      return "the ticket is refused";
    case RegistryError::kNumberTaken:
      return "another operator holds this number";
    case RegistryError::kNumberNotNext:
      return "the number does not follow the highest ticket";
    case RegistryError::kUnavailable:
      return "the store can't be reached; the ticket is not accepted";
    case RegistryError::kOutcomeUnknown:
      return "the store didn't answer; submit again to learn the outcome";
    case RegistryError::kNotFound:
      return "there is no such ticket";
    case RegistryError::kBadSnapshot:
      return "the snapshot in the store can't be read";
  }
  return "unknown error";
}

}  // namespace cowslip::registry
