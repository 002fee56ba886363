#pragma once

#include <string_view>

namespace cowslip::registry {

/// Reasons for which a ticket was not accepted, or the tickets could not be
/// read.
enum class RegistryError {
  kOk,
  kInvalid,         ///< The ticket is invalid.
  kNumberTaken,     ///< Another operator wrote the number or snapshot first.
  kNumberNotNext,   ///< The number is not the next one.
  kUnavailable,     ///< Store unreachable: the ticket is not accepted.
  kOutcomeUnknown,  ///< No answer from the store: the outcome is unknown.
  kNotFound,
  kBadSnapshot,  ///< The snapshot in the store is malformed.
};

/// @return one sentence that explains the error to an operator.
std::string_view ErrorMessage(RegistryError error);

}  // namespace cowslip::registry
