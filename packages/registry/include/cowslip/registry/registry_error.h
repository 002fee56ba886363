#pragma once

#include <string_view>

namespace cowslip::registry {

/// Why a ticket was not accepted, or tickets could not be read.
enum class RegistryError {
  kOk,
  kInvalid,         ///< The ticket itself is refused.
  kNumberTaken,     ///< Another operator holds the number.
  kNumberNotNext,   ///< The number is not the next one.
  kUnavailable,     ///< The store was not reached: the ticket is not accepted.
  kOutcomeUnknown,  ///< The store can't tell whether the ticket was accepted.
  kNotFound,
  kBadSnapshot,  ///< The snapshot in the store can't be read.
};

/// @return one sentence for operators.
std::string_view ErrorMessage(RegistryError error);

}  // namespace cowslip::registry
